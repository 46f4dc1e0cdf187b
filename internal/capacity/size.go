package capacity

import (
	"fmt"
	"time"

	"chalkferry/internal/strict"
)

// secondsInDay turns a rate of a day into one of a second.
const secondsInDay = 24 * 60 * 60

// Size is a size of the fleet, and what a proxy may spend on control at it.
type Size struct {
	Proxies         float64     `toml:"proxies"`
	Connections     float64     `toml:"connections"`
	Shards          float64     `toml:"shards"`
	LargestTopic    float64     `toml:"largest_topic"`
	Deliveries      float64     `toml:"deliveries"` // a second
	DeliveryWithin  strict.Span `toml:"delivery_within"`
	Regions         float64     `toml:"regions"`
	Zones           float64     `toml:"zones"`
	Changes         float64     `toml:"changes"` // of configuration, a day
	ChangedWithin   strict.Span `toml:"changed_within"`
	ControlCores    float64     `toml:"control_cores"`
	ControlMemoryMB float64     `toml:"control_memory_mb"`
	ControlBytes    float64     `toml:"control_bytes"` // a second
	ControlMachines float64     `toml:"control_machines"`
	MachinesFail    float64     `toml:"machines_fail"` // a day
	Restarts        float64     `toml:"restarts"`      // a day
	RegionsApart    strict.Span `toml:"regions_apart"`
	Unknown         Unknowns    `toml:"unknown"`
}

// Unknowns are the parameters that no letter tells.
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

// Unknown is a parameter with the value that costs less and the one that costs more.
type Unknown struct {
	Unit     string  `toml:"unit"`
	Low      float64 `toml:"low"`
	High     float64 `toml:"high"`
	Question int     `toml:"question"` // its number in docs/questions.md
	Reason   string  `toml:"reason"`
}

// namedUnknown is one with its key in the file.
type namedUnknown struct {
	key string
	*Unknown
}

// all are the unknown parameters in the order of the file.
func (u *Unknowns) all() []namedUnknown {
	return []namedUnknown{{"servers", &u.Servers}, {"list_changes", &u.ListChanges}, {"renewals", &u.Renewals},
		{"settings_bytes", &u.SettingsBytes}, {"keys", &u.Keys}, {"sessions_per_group", &u.SessionsPerGroup},
		{"probes", &u.Probes}, {"return_rate", &u.ReturnRate}, {"rack", &u.Rack}}
}

// ReadSize reads a size file. Its errors tell the line.
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

// Case is a size with each unknown parameter at one of its two values.
type Case struct {
	*Size
	Name             string
	Servers          float64
	ListChanges      float64 // a second
	Renewals         float64 // a second, for each connection
	SettingsBytes    float64
	Keys             float64
	SessionsPerGroup float64
	Probes           float64 // a second
	ReturnRate       float64 // share of lost clients, a second
	Rack             float64 // proxies
}

// Cases are the two columns of the table.
func (s *Size) Cases() [2]*Case {
	at := func(name string, value func(Unknown) float64) *Case {
		u := &s.Unknown
		return &Case{Size: s, Name: name, Servers: value(u.Servers), ListChanges: value(u.ListChanges) / secondsInDay,
			Renewals: value(u.Renewals) / time.Hour.Seconds(), SettingsBytes: value(u.SettingsBytes), Keys: value(u.Keys),
			SessionsPerGroup: value(u.SessionsPerGroup), Probes: value(u.Probes), ReturnRate: value(u.ReturnRate), Rack: value(u.Rack)}
	}
	return [2]*Case{at("low", func(u Unknown) float64 { return u.Low }), at("high", func(u Unknown) float64 { return u.High })}
}

// ConnectionsEach is how many connections a proxy holds on the mean.
func (s *Size) ConnectionsEach() float64 { return s.Connections / s.Proxies }

// DeliveriesEach is how many deliveries a proxy passes in a second.
func (s *Size) DeliveriesEach() float64 { return s.Deliveries / s.Proxies }

// ChangesEach is how many changes of configuration there are in a second.
func (s *Size) ChangesEach() float64 { return s.Changes / secondsInDay }

// BytesWithin is what a proxy may take for control in the time in which a change is to be in force.
func (s *Size) BytesWithin() float64 { return s.ControlBytes * s.ChangedWithin.D().Seconds() }

// ProxiesToMachine is how many proxies there are for each machine that is set aside.
func (s *Size) ProxiesToMachine() float64 { return s.Proxies / s.ControlMachines }

// MachineBytes is what each such machine sends in a second if they alone feed the proxies all they may take.
func (s *Size) MachineBytes() float64 { return s.ProxiesToMachine() * s.ControlBytes }

// MemoryBytes is what control may take of a proxy's memory.
func (s *Size) MemoryBytes() float64 { return s.ControlMemoryMB * (1 << 20) }

// SessionsEach is how many sessions a proxy takes in a second on an ordinary day.
func (c *Case) SessionsEach() float64 { return c.ConnectionsEach() * c.Renewals }

// String names the case.
func (c *Case) String() string { return fmt.Sprintf("%s (%.0f servers)", c.Name, c.Servers) }
