package scale

import (
	"errors"
	"fmt"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// Refusals of a run before its start.
var (
	ErrMemory      = errors.New("it would take more than half of the machine's memory")
	ErrProcesses   = errors.New("it would take too many processes")
	ErrDescriptors = errors.New("it would take too many descriptors")
)

const (
	maxProcesses = 200
	memoryPart   = 2 // a run may take one part in two of the machine's memory
)

// What a run takes, for the estimate; rounded up from what runs measured (docs/scale.md).
const (
	bytesWorker       = 32 << 20
	bytesHollow       = 128 << 10 // without keys
	bytesHollowKey    = 512       // of its own
	bytesSum          = 192       // of each sum, at members and aggregators
	bytesMemberKey    = 32        // of a member, at each aggregator of its region
	bytesReal         = 96 << 20  // two proxies, one with shared state and one without
	bytesCoordinator  = 128 << 20
	socketsHollow     = 2 // shared state, and the watch of the list
	socketsOfAProcess = 64
)

// Machine is what a run may take of.
type Machine struct {
	Memory      uint64 // bytes
	Descriptors uint64 // of a process
}

// ThisMachine returns what this machine has.
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

// Need is what a step of a run would take.
type Need struct {
	Memory      uint64 `json:"memory_bytes"`
	Processes   int    `json:"processes"`
	Descriptors int    `json:"descriptors"` // of the process that has most
}

// Need estimates what a step takes.
func (p *Plan) Need(hollow int) Need {
	sizes := p.split(hollow)
	largest := 0
	for _, size := range sizes {
		largest = max(largest, size)
	}
	members := uint64(hollow)
	return Need{
		Memory: bytesCoordinator + uint64(len(sizes)+1)*bytesWorker + uint64(p.Real)*bytesReal +
			uint64(p.Regions*aggregatorsPerRegion)*(bytesWorker+uint64(p.Servers)*bytesSum) +
			members*(bytesHollow+uint64(p.Keys)*bytesHollowKey+uint64(p.Servers)*bytesSum+aggregatorsPerRegion*uint64(p.Keys)*bytesMemberKey),
		Processes:   1 + len(sizes) + 1 + 2*p.Real + p.Regions*aggregatorsPerRegion,
		Descriptors: max(largest*socketsHollow, hollow) + socketsOfAProcess, // the list service has a connection of each
	}
}

// Fits tells why a step can't be run on a machine, nil if it can.
func (p *Plan) Fits(hollow int, m Machine) error {
	switch need := p.Need(hollow); {
	case need.Memory > m.Memory/memoryPart:
		return fmt.Errorf("%d hollow members with %d keys: %w: some %d MB of %d", hollow, p.Keys, ErrMemory, need.Memory>>20, m.Memory>>20)
	case need.Processes > maxProcesses:
		return fmt.Errorf("%d hollow members: %w: %d, %d are allowed", hollow, ErrProcesses, need.Processes, maxProcesses)
	case uint64(need.Descriptors) > m.Descriptors:
		return fmt.Errorf("%d hollow members: %w: %d in a process, %d are allowed", hollow, ErrDescriptors, need.Descriptors, m.Descriptors)
	}
	return nil
}
