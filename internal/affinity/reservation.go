// Package affinity reserves processors of this machine for the processes of one rehearsal. Two processes bound to the same
// processor distort each other's measurements, as the scheduler can move neither to another one. The package decides which
// processors are free, locks them against other runs on the machine, and keeps the threads of this process off them. It does
// not limit which processors unbound processes use.
package affinity

import (
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// processorDirectory has a subdirectory for each processor, see the kernel's
// Documentation/ABI/testing/sysfs-devices-system-cpu.
const processorDirectory = "/sys/devices/system/cpu"

// maxProcessors is the number of processors that a unix.CPUSet can hold.
const maxProcessors = 1024

// Reservation holds processors until Release is called or the process ends.
type Reservation struct {
	allowed    unix.CPUSet // the processors that this process could use when the reservation was made
	processors []int       // numbers of the reserved processors, highest first
	locks      []*os.File  // one locked directory for each reserved processor
}

// UnavailableError reports that Reserve found too few free processors: it needs those requested and one more, which is left for
// other work.
type UnavailableError struct {
	Wanted   int    // number of processors requested
	Free     int    // number of free processors found, Wanted at most
	Reason   string // why the first processor that is not free is unavailable, "" if this process is allowed too few
	Reserved []int  // numbers of the processors that other runs have reserved
}

// Error implements error.
func (e *UnavailableError) Error() string {
	text := fmt.Sprintf("%d processors were requested, besides one for other work, and %d are free", e.Wanted, e.Free)
	if e.Reason == "" {
		return text
	}
	return text + ": " + e.Reason
}

// setReason records why a processor is not free, for the first such processor only.
func (e *UnavailableError) setReason(processor int, reason string) {
	if e.Reason == "" {
		e.Reason = fmt.Sprintf("processor %d %s", processor, reason)
	}
}

// Reserve reserves the highest-numbered free processors, as many as are wanted, and leaves at least one to this process. A
// processor is free if no other run has reserved it and no process outside this process's descendants is bound to it, or to a
// subset of the allowed processors that contains it. The error is an *UnavailableError, or that of reading /proc or this
// process's own binding.
func Reserve(wanted int) (*Reservation, error) {
	allowed, err := ownThreads.allowed()
	if err != nil {
		return nil, err
	}
	r := &Reservation{allowed: allowed}
	bound, err := boundProcesses(&r.allowed)
	if err != nil {
		return nil, err
	}
	unavailable := &UnavailableError{Wanted: wanted}
	for processor := maxProcessors - 1; processor >= 0; processor-- {
		if !r.allowed.IsSet(processor) {
			continue
		}
		lock, err := lockProcessor(processor)
		holder := holderOf(bound, processor)
		switch {
		case err == unix.EWOULDBLOCK:
			unavailable.Reserved = append(unavailable.Reserved, processor)
			unavailable.setReason(processor, "is reserved by another run")
		case err != nil: // without the lock, reservations of other runs cannot be detected
			unavailable.setReason(processor, fmt.Sprintf("cannot be locked: %v", err))
		case holder != nil:
			lock.Close()
			unavailable.setReason(processor, holder.String())
		case len(r.processors) < wanted:
			r.processors = append(r.processors, processor)
			r.locks = append(r.locks, lock)
		default:
			lock.Close()
		}
	}
	if len(r.processors) < wanted || wanted >= r.allowed.Count() {
		unavailable.Free = len(r.processors)
		r.unlock()
		return nil, unavailable
	}
	if err := ownThreads.avoid(r.processors); err != nil {
		r.unlock()
		return nil, err
	}
	return r, nil
}

// lockProcessor locks a processor against other runs. It returns unix.EWOULDBLOCK if another run holds the lock. The lock is on
// the processor's directory in sysfs: the kernel releases it however the process ends, and no file is left behind.
func lockProcessor(processor int) (*os.File, error) {
	directory, err := os.Open(filepath.Join(processorDirectory, fmt.Sprintf("cpu%d", processor)))
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(directory.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		directory.Close()
		return nil, err
	}
	return directory, nil
}

// Processors returns the numbers of the reserved processors, highest first.
func (r *Reservation) Processors() []int { return r.processors }

// Release gives up the processors and lets this process use them again. Further calls do nothing.
func (r *Reservation) Release() {
	ownThreads.release(r.processors)
	r.unlock()
}

// unlock releases the locks and forgets the processors.
func (r *Reservation) unlock() {
	for _, lock := range r.locks {
		lock.Close()
	}
	r.locks, r.processors = nil, nil
}

// Unbind lets all processes of a process group use every processor that this process may use. The error is that of reading
// /proc.
func (r *Reservation) Unbind(group int) error { return bindGroup(group, &r.allowed) }

// Avoid keeps the threads of this process, and thereby the processes that it starts, off processors that other runs have
// reserved. The returned function undoes that.
func Avoid(processors []int) (release func(), err error) {
	if err := ownThreads.avoid(processors); err != nil {
		return nil, err
	}
	return func() { ownThreads.release(processors) }, nil
}

// ForeignProcess describes a process that is not a descendant of this one and has been bound to a reserved processor in the
// meantime, "" for none. The error is that of reading /proc.
func (r *Reservation) ForeignProcess() (string, error) {
	bound, err := boundProcesses(&r.allowed)
	if err != nil {
		return "", err
	}
	for _, processor := range r.processors {
		if holder := holderOf(bound, processor); holder != nil {
			return fmt.Sprintf("processor %d %v", processor, holder), nil
		}
	}
	return "", nil
}
