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

// Report holds what a run has measured. The figures of hollow members, of stand-ins and of real processes are kept apart.
type Report struct {
	Name        string        `json:"name"`
	Command     string        `json:"command"`
	Commit      string        `json:"commit"`
	Go          string        `json:"go"`
	Cores       int           `json:"cores"`     // processors of the machine
	At          string        `json:"at"`        // UTC, RFC 3339
	Mechanism   string        `json:"mechanism"` // that carries the shared counts
	Plan        *Plan         `json:"plan"`
	Interrupted bool          `json:"interrupted,omitempty"`
	Steps       []*StepReport `json:"steps"`
	Fits        []Fit         `json:"fits,omitempty"`
}

// StepReport holds what was measured with one number of hollow members.
type StepReport struct {
	Hollow      int              `json:"hollow_members"`
	Real        int              `json:"real_proxies"`
	Estimate    ResourceEstimate `json:"estimate"`
	StartedIn   float64          `json:"started_in_seconds"`
	Phases      []Phase          `json:"phases"`
	Interrupted string           `json:"interrupted_while,omitempty"` // name of the phase that was interrupted

	Member      MemberUsage        `json:"hollow_member"` // of one member, by the slope over the members of a process
	Discovery   RoleUsage          `json:"stand_in_discovery"`
	Aggregators []AggregatorReport `json:"aggregators"`
	RealProxy   *RealUsage         `json:"real_proxy,omitempty"`
	WorkerBytes uint64             `json:"workers_resident_bytes"`              // resident memory of all worker processes
	Filled      PropagationTimes   `json:"all_sums_right_after_the_last_start"` // from the last start until the sums of all members are right

	Sum                  SumAccuracy        `json:"sum"` // of the common count
	CountChanges         []PropagationTimes `json:"count_changes"`
	RealChanges          []PropagationTimes `json:"count_changes_at_real_proxies,omitempty"`
	ListChanges          []PropagationTimes `json:"list_changes"`
	Faults               []FaultReport      `json:"faults,omitempty"`
	SettingsMicroseconds float64            `json:"settings_read_microseconds"` // mean time to parse settings, without their way to the member

	Lateness Lateness `json:"generator_lateness"`
	Void     bool     `json:"void"`             // the generator was late: the figures of this step do not count
	Failed   []string `json:"failed,omitempty"` // expectations that were not met

	base     []*Usage // of list service and workers, before the first member
	started  int      // hollow members that run
	watching int      // hollow members whose watch of the server list has received something
	silent   int      // hollow members that have not sent a datagram
}

// Phase is a part of a step, with its duration.
type Phase struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
}

// MemberUsage is what one hollow member uses.
type MemberUsage struct {
	CPUShare             float64 `json:"cpu_share"` // of a core
	MemoryBytes          float64 `json:"memory_bytes"`
	BytesIn              float64 `json:"bytes_in_per_second"`
	BytesOut             float64 `json:"bytes_out_per_second"`
	PacketsIn            float64 `json:"packets_in_per_second"`
	PacketsOut           float64 `json:"packets_out_per_second"`
	ListBytesIn          float64 `json:"list_bytes_in_per_second"`
	CPUResidual          float64 `json:"cpu_share_residual,omitempty"` // standard deviation around the slope, per member
	Processes            int     `json:"processes"`                    // that the members run in
	ProcessCPU           float64 `json:"process_cpu_share"`            // share of a core of a process without members, by the intercept
	ProcessMemoryMB      float64 `json:"process_memory_mb"`            // MiB of a process without members
	SlopeOverMembers     bool    `json:"slope_over_members"`           // false: the sizes of the processes were too similar, and an empty process was subtracted
	PayloadOnly          bool    `json:"bytes_are_udp_payload"`        // bytes are UDP payload, without headers
	MaxMembersPerProcess int     `json:"most_members_of_process"`      // largest number of members of a process
	MinMembersPerProcess int     `json:"least_members_of_process"`     // smallest number of members of a process
}

// RoleUsage is what a process with a control role, an aggregator or the discovery service, uses.
type RoleUsage struct {
	CPUShare   float64 `json:"cpu_share"` // of a core
	MemoryMB   float64 `json:"memory_mb"` // MiB of resident memory
	BytesIn    float64 `json:"bytes_in_per_second"`
	BytesOut   float64 `json:"bytes_out_per_second"`
	PacketsIn  float64 `json:"packets_in_per_second"`
	PacketsOut float64 `json:"packets_out_per_second"`
}

// SumAccuracy compares the members' sums over the fleet with the true sum, in sessions.
type SumAccuracy struct {
	True              float64 `json:"true"`
	Median            float64 `json:"median"`
	Min               float64 `json:"least"`
	Max               float64 `json:"most"`
	MaxError          float64 `json:"most_stated_error"`           // largest error that a member states for its own sum
	MaxAge            float64 `json:"most_age_seconds"`            // seconds
	MinHeard          float64 `json:"least_heard"`                 // smallest share of the fleet that a member has heard from
	BeyondStatedError int     `json:"members_beyond_stated_error"` // members whose sum is off by more than the error that they state
}

// PropagationTimes are the times in seconds until shares of the members knew of a change; -1 where fewer members ever did.
type PropagationTimes struct {
	Members int     `json:"members"`  // that were waited for
	Known   int     `json:"known"`    // members that knew before the timeout
	P50     float64 `json:"half"`     // until half of the members knew
	P99     float64 `json:"known_99"` // until 99 in 100 knew
	All     float64 `json:"all"`      // until all knew
}

// Lateness is how late the ticks of the generator were, over all worker processes.
type Lateness struct {
	Ticks int64   `json:"ticks"`
	Late  int64   `json:"late"`         // ticks that were later than the plan's bound
	P99   float64 `json:"worst_p99_ms"` // 99th percentile of the worst process
	Max   float64 `json:"max_ms"`
}

// newReport returns a report without steps; commit is "" for the one that the build has stamped into the program.
func newReport(p *Plan, commit string) *Report {
	if commit == "" {
		commit = buildCommit()
	}
	return &Report{Name: p.Name, Command: strings.Join(append([]string{"chalkferry"}, os.Args[1:]...), " "), Commit: commit, Go: runtime.Version(),
		Cores: runtime.NumCPU(), At: time.Now().UTC().Format(time.RFC3339), Mechanism: mechanism, Plan: p}
}

// buildCommit returns the commit that the build has stamped into the program, "unknown" if there is none.
func buildCommit() string {
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

// OK reports whether all steps ran and met the expectations.
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
