package scale

import (
	"errors"
	"fmt"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// Reasons to refuse a run before its start.
var (
	ErrMemory      = errors.New("it would take more than half of the machine's memory")
	ErrProcesses   = errors.New("it would take too many processes")
	ErrDescriptors = errors.New("it would take too many descriptors")
)

const (
	maxProcesses  = 200 // of one step
	memoryDivisor = 2   // a run may take half of the machine's memory
)

// Resources of a run, for the estimate; rounded up from measurements (docs/scale.md).
const (
	workerBytes         = 32 << 20  // process without members
	hollowMemberBytes   = 128 << 10 // hollow member without keys
	hollowKeyBytes      = 512       // key that a hollow member publishes
	sumBytes            = 192       // sum, at each member and aggregator
	aggregatorKeyBytes  = 32        // member's key, at each aggregator of its region
	realProxyPairBytes  = 96 << 20  // two proxies, one with shared state and one without
	coordinatorBytes    = 128 << 20 // this process
	hollowMemberSockets = 2         // shared state, and the watch of the server list
	processDescriptors  = 64        // descriptors that a process has besides those of members
)

// Machine holds the limits that a run is checked against.
type Machine struct {
	Memory      uint64 // bytes of physical memory
	Descriptors uint64 // soft limit of a process
}

// ThisMachine returns the limits of the machine and process that it runs in.
func ThisMachine() (Machine, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return Machine{}, err
	}
	memory, err := fs.Meminfo()
	if err != nil {
		return Machine{}, err
	}
	if memory.MemTotalBytes == nil {
		return Machine{}, errors.New("the memory of this machine is not known")
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return Machine{}, err
	}
	return Machine{Memory: *memory.MemTotalBytes, Descriptors: limit.Cur}, nil
}

// ResourceEstimate is what a step of a run is expected to take.
type ResourceEstimate struct {
	Memory      uint64 `json:"memory_bytes"`
	Processes   int    `json:"processes"`   // including this one
	Descriptors int    `json:"descriptors"` // of the process that needs most
}

// EstimateResources estimates what a step with a number of hollow members takes.
func (p *Plan) EstimateResources(hollow int) ResourceEstimate {
	sizes := p.splitMembers(hollow)
	largest := 0
	for _, size := range sizes {
		largest = max(largest, size)
	}
	members := uint64(hollow)
	return ResourceEstimate{
		Memory: coordinatorBytes + uint64(len(sizes)+1)*workerBytes + uint64(p.Real)*realProxyPairBytes +
			uint64(p.Regions*aggregatorsPerRegion)*(workerBytes+uint64(p.Servers)*sumBytes) +
			members*(hollowMemberBytes+uint64(p.Keys)*hollowKeyBytes+uint64(p.Servers)*sumBytes+aggregatorsPerRegion*uint64(p.Keys)*aggregatorKeyBytes),
		Processes:   1 + len(sizes) + 1 + 2*p.Real + p.Regions*aggregatorsPerRegion,
		Descriptors: max(largest*hollowMemberSockets, hollow) + processDescriptors, // the discovery service has a connection to each member
	}
}

// CheckResources returns why a step can't be run on a machine, nil if it can: an error that wraps ErrMemory, ErrProcesses or
// ErrDescriptors.
func (p *Plan) CheckResources(hollow int, m Machine) error {
	switch need := p.EstimateResources(hollow); {
	case need.Memory > m.Memory/memoryDivisor:
		return fmt.Errorf("%d hollow members with %d keys: %w: some %d MB of %d", hollow, p.Keys, ErrMemory, need.Memory>>20, m.Memory>>20)
	case need.Processes > maxProcesses:
		return fmt.Errorf("%d hollow members: %w: %d, %d are allowed", hollow, ErrProcesses, need.Processes, maxProcesses)
	case uint64(need.Descriptors) > m.Descriptors:
		return fmt.Errorf("%d hollow members: %w: %d in a process, %d are allowed", hollow, ErrDescriptors, need.Descriptors, m.Descriptors)
	}
	return nil
}
