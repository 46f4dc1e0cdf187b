package capacity

import (
	"fmt"
	"time"

	"chalkferry/internal/strict"
)

// secondsInDay converts rates per day to rates per second.
const secondsInDay = 24 * 60 * 60

// hoursInDay converts rates per day to rates per hour.
const hoursInDay = 24

// Size describes the size of a fleet and what a proxy may spend on control at it. It is read from a TOML file.
type Size struct {
	Proxies         float64     `toml:"proxies"`
	Connections     float64     `toml:"connections"`
	Shards          float64     `toml:"shards"`          // of topics
	LargestTopic    float64     `toml:"largest_topic"`   // its listeners
	Deliveries      float64     `toml:"deliveries"`      // a second
	DeliveryWithin  strict.Span `toml:"delivery_within"` // for 99 in 100 deliveries
	Regions         float64     `toml:"regions"`
	Zones           float64     `toml:"zones"`
	Changes         float64     `toml:"changes"`           // of configuration, a day
	ChangedWithin   strict.Span `toml:"changed_within"`    // until a change is in force everywhere
	ControlCores    float64     `toml:"control_cores"`     // share of a core, on a proxy
	ControlMemoryMB float64     `toml:"control_memory_mb"` // MiB, on a proxy
	ControlBytes    float64     `toml:"control_bytes"`     // a second, on a proxy
	ControlMachines float64     `toml:"control_machines"`  // machines set aside for control
	MachinesFail    float64     `toml:"machines_fail"`     // a day
	Restarts        float64     `toml:"restarts"`          // a day
	RegionsApart    strict.Span `toml:"regions_apart"`     // how long two regions are disconnected
	Unknown         Unknowns    `toml:"unknown"`
}

// Unknowns are the parameters that the operators have not given.
type Unknowns struct {
	Servers          Unknown `toml:"servers"`
	ListChanges      Unknown `toml:"list_changes"`       // a day
	Renewals         Unknown `toml:"renewals"`           // sessions that a connection begins in an hour
	SettingsBytes    Unknown `toml:"settings_bytes"`     // of one change
	Keys             Unknown `toml:"keys"`               // counts of one proxy
	SessionsPerGroup Unknown `toml:"sessions_per_group"` // on one proxy
	Probes           Unknown `toml:"probes"`             // to one proxy, a second
	ReturnRate       Unknown `toml:"return_rate"`        // share of lost clients, a second
	Rack             Unknown `toml:"rack"`               // proxies
}

// Unknown is a parameter with an assumed low and high value; the low one costs less.
type Unknown struct {
	Unit     string  `toml:"unit"` // what the values count, for the table
	Low      float64 `toml:"low"`
	High     float64 `toml:"high"`
	Question int     `toml:"question"` // the number of the question in docs/questions.md that asks for it
	Reason   string  `toml:"reason"`   // why these values were assumed, for the table
}

// keyedUnknown is an unknown parameter with its key in the file.
type keyedUnknown struct {
	key string
	*Unknown
}

// all returns the unknown parameters in the order of the file.
func (u *Unknowns) all() []keyedUnknown {
	return []keyedUnknown{{"servers", &u.Servers}, {"list_changes", &u.ListChanges}, {"renewals", &u.Renewals},
		{"settings_bytes", &u.SettingsBytes}, {"keys", &u.Keys}, {"sessions_per_group", &u.SessionsPerGroup},
		{"probes", &u.Probes}, {"return_rate", &u.ReturnRate}, {"rack", &u.Rack}}
}

// ReadSize reads and checks a size file. Its errors name the file and the line.
func ReadSize(name string) (*Size, error) {
	size := &Size{}
	file, err := strict.Read(name, size)
	if err != nil {
		return nil, err
	}
	for _, quantity := range []struct {
		key   string
		value float64
	}{
		{"proxies", size.Proxies}, {"connections", size.Connections}, {"shards", size.Shards},
		{"largest_topic", size.LargestTopic}, {"deliveries", size.Deliveries},
		{"delivery_within", float64(size.DeliveryWithin)}, {"regions", size.Regions}, {"zones", size.Zones},
		{"changes", size.Changes}, {"changed_within", float64(size.ChangedWithin)}, {"control_cores", size.ControlCores},
		{"control_memory_mb", size.ControlMemoryMB}, {"control_bytes", size.ControlBytes},
		{"control_machines", size.ControlMachines}, {"machines_fail", size.MachinesFail}, {"restarts", size.Restarts},
		{"regions_apart", float64(size.RegionsApart)},
	} {
		if !(quantity.value > 0) {
			return nil, file.Errorf(quantity.key, "it must be above 0")
		}
	}
	if size.Zones < 2 {
		return nil, file.Errorf("zones", "%v, at least 2 are needed for the loss of one", size.Zones)
	}
	for _, unknown := range size.Unknown.all() {
		path := "unknown." + unknown.key
		switch {
		case !(unknown.Low > 0 && unknown.High > 0):
			return nil, file.Errorf(path, "low and high must be above 0")
		case unknown.Unit == "" || unknown.Reason == "":
			return nil, file.Errorf(path, "unit and reason are needed")
		}
	}
	return size, nil
}

// Case is a size with each unknown parameter set to one of its two values.
type Case struct {
	*Size
	Name             string
	Servers          float64 // in the list of servers
	ListChanges      float64 // a second
	Renewals         float64 // a second, for each connection
	SettingsBytes    float64
	Keys             float64
	SessionsPerGroup float64
	Probes           float64 // a second
	ReturnRate       float64 // share of lost clients, a second
	Rack             float64 // proxies
}

// Cases returns the two columns of the table: all unknown parameters low, and all high.
func (s *Size) Cases() [2]*Case {
	newCase := func(name string, value func(Unknown) float64) *Case {
		u := &s.Unknown
		return &Case{Size: s, Name: name, Servers: value(u.Servers), ListChanges: value(u.ListChanges) / secondsInDay,
			Renewals: value(u.Renewals) / time.Hour.Seconds(), SettingsBytes: value(u.SettingsBytes), Keys: value(u.Keys),
			SessionsPerGroup: value(u.SessionsPerGroup), Probes: value(u.Probes), ReturnRate: value(u.ReturnRate), Rack: value(u.Rack)}
	}
	return [2]*Case{newCase("low", func(u Unknown) float64 { return u.Low }), newCase("high", func(u Unknown) float64 { return u.High })}
}

// ConnectionsPerProxy returns how many connections a proxy holds on average.
func (s *Size) ConnectionsPerProxy() float64 { return s.Connections / s.Proxies }

// DeliveriesPerProxy returns how many deliveries a proxy passes on per second.
func (s *Size) DeliveriesPerProxy() float64 { return s.Deliveries / s.Proxies }

// ChangesPerSecond returns how many changes of configuration there are per second.
func (s *Size) ChangesPerSecond() float64 { return s.Changes / secondsInDay }

// BytesWithinChangeTime returns how many bytes a proxy may receive for control within ChangedWithin.
func (s *Size) BytesWithinChangeTime() float64 { return s.ControlBytes * s.ChangedWithin.D().Seconds() }

// ProxiesPerControlMachine returns the number of proxies for each control machine.
func (s *Size) ProxiesPerControlMachine() float64 { return s.Proxies / s.ControlMachines }

// ControlMachineBytes returns how many bytes per second each control machine sends if these machines alone supply the proxies
// with all the bytes that these may receive for control.
func (s *Size) ControlMachineBytes() float64 { return s.ProxiesPerControlMachine() * s.ControlBytes }

// ControlMemoryBytes returns how much of a proxy's memory control may use.
func (s *Size) ControlMemoryBytes() float64 { return s.ControlMemoryMB * (1 << 20) }

// SessionsPerSecond returns how many sessions begin on a proxy per second on an ordinary day.
func (c *Case) SessionsPerSecond() float64 { return c.ConnectionsPerProxy() * c.Renewals }

// String returns the name of the case and its number of servers.
func (c *Case) String() string { return fmt.Sprintf("%s (%.0f servers)", c.Name, c.Servers) }
