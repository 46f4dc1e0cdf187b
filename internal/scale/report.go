package scale

import (
	"encoding/json"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"time"
)

// Report is what a run has measured. Figures of hollow members, of stand-ins and of real processes are kept apart.
type Report struct {
	Name        string        `json:"name"`
	Command     string        `json:"command"`
	Commit      string        `json:"commit"`
	Go          string        `json:"go"`
	Cores       int           `json:"cores"`
	At          string        `json:"at"`
	Mechanism   string        `json:"mechanism"`
	Plan        *Plan         `json:"plan"`
	Interrupted bool          `json:"interrupted,omitempty"`
	Steps       []*StepReport `json:"steps"`
	Fits        []Fit         `json:"fits,omitempty"`
}

// StepReport is one number of members.
type StepReport struct {
	Hollow      int     `json:"hollow_members"`
	Real        int     `json:"real_proxies"`
	Estimate    Need    `json:"estimate"`
	StartedIn   float64 `json:"started_in_seconds"`
	Phases      []Phase `json:"phases"`
	Interrupted string  `json:"interrupted_while,omitempty"`

	Member      MemberUsage        `json:"hollow_member"` // one of them, by the slope over members of a process
	Discovery   RoleUsage          `json:"stand_in_discovery"`
	Aggregators []AggregatorReport `json:"aggregators"`
	RealProxy   *RealUsage         `json:"real_proxy,omitempty"`
	WorkerBytes uint64             `json:"workers_resident_bytes"` // all together
	Filled      Spread             `json:"all_sums_right_after_the_last_start"`

	Sum                  Sums          `json:"sum"` // of the count that all members hold
	CountChanges         []Spread      `json:"count_changes"`
	RealChanges          []Spread      `json:"count_changes_at_real_proxies,omitempty"`
	ListChanges          []Spread      `json:"list_changes"`
	Faults               []FaultReport `json:"faults,omitempty"`
	SettingsMicroseconds float64       `json:"settings_read_microseconds"` // one member's reading, without any way of them to it

	Lateness Lateness `json:"generator_lateness"`
	Void     bool     `json:"void"` // the generator was late: no figure of this step counts
	Failed   []string `json:"failed,omitempty"`

	base     []*Usage // of list service and workers, before the first member
	started  int
	watching int
	silent   int
}

// Phase is a part of a step, and how long it took.
type Phase struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
}

// MemberUsage is what one hollow member uses.
type MemberUsage struct {
	CPUShare         float64 `json:"cpu_share"` // of a core
	MemoryBytes      float64 `json:"memory_bytes"`
	BytesIn          float64 `json:"bytes_in_per_second"`
	BytesOut         float64 `json:"bytes_out_per_second"`
	PacketsIn        float64 `json:"packets_in_per_second"`
	PacketsOut       float64 `json:"packets_out_per_second"`
	ListBytesIn      float64 `json:"list_bytes_in_per_second"`
	CPUResidual      float64 `json:"cpu_share_residual,omitempty"` // standard deviation around the slope
	Processes        int     `json:"processes"`
	ProcessCPU       float64 `json:"process_cpu_share"`       // that an empty process would use, by the intercept
	ProcessMemoryMB  float64 `json:"process_memory_mb"`       // of an empty process
	SlopeOverMembers bool    `json:"slope_over_members"`      // false: the difference from an empty process
	PayloadOnly      bool    `json:"bytes_are_udp_payload"`   // without headers
	MostInAProcess   int     `json:"most_members_of_process"` // of the slope's range
	LeastInAProcess  int     `json:"least_members_of_process"`
}

// RoleUsage is what a control role uses.
type RoleUsage struct {
	CPUShare   float64 `json:"cpu_share"`
	MemoryMB   float64 `json:"memory_mb"`
	BytesIn    float64 `json:"bytes_in_per_second"`
	BytesOut   float64 `json:"bytes_out_per_second"`
	PacketsIn  float64 `json:"packets_in_per_second"`
	PacketsOut float64 `json:"packets_out_per_second"`
}

// Sums is how members' sums over the fleet differ from what all hold.
type Sums struct {
	True       float64 `json:"true"`
	Median     float64 `json:"median"`
	Least      float64 `json:"least"`
	Most       float64 `json:"most"`
	MostError  float64 `json:"most_stated_error"`
	MostAge    float64 `json:"most_age_seconds"`
	LeastHeard float64 `json:"least_heard"`
	Beyond     int     `json:"members_beyond_stated_error"`
}

// Spread is how long a change took until members knew of it, in seconds; -1 where so many never did.
type Spread struct {
	Members int     `json:"members"`
	Known   int     `json:"known"`
	Half    float64 `json:"half"`
	P99     float64 `json:"known_99"`
	All     float64 `json:"all"`
}

// Lateness is how far the generator was behind its own schedule, over all its processes.
type Lateness struct {
	Ticks int64   `json:"ticks"`
	Late  int64   `json:"late"`
	P99   float64 `json:"worst_p99_ms"`
	Max   float64 `json:"max_ms"`
}

func newReport(p *Plan, commit string) *Report {
	if commit == "" {
		commit = builtFrom()
	}
	return &Report{Name: p.Name, Command: strings.Join(append([]string{"chalkferry"}, os.Args[1:]...), " "), Commit: commit, Go: runtime.Version(),
		Cores: runtime.NumCPU(), At: time.Now().UTC().Format(time.RFC3339), Mechanism: mechanism, Plan: p}
}

// builtFrom returns the commit that is stamped into the program, where the build has no name for it.
func builtFrom() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return "unknown"
}

// OK tells whether all steps ran and kept to what is expected.
func (r *Report) OK() bool {
	return !r.Interrupted && !slices.ContainsFunc(r.Steps, func(s *StepReport) bool { return len(s.Failed) > 0 })
}

// WriteJSON writes the report to a file.
func (r *Report) WriteJSON(file string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}
