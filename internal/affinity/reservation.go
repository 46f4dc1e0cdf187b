// Package affinity gives processors of this machine to the processes of one run alone. A process that is bound to a processor
// which others are bound to is measured wrongly, and takes it from them: the scheduler can move neither away. The package decides
// which processors are free, holds them against other runs and keeps this process's own threads off them. It does not limit what
// processes that are not bound use.
package affinity

import (
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// processorFolder has a folder for each processor, see the kernel's Documentation/ABI/testing/sysfs-devices-system-cpu.
const processorFolder = "/sys/devices/system/cpu"

// maxProcessors is how many processors a unix.CPUSet can name.
const maxProcessors = 1024

// Reservation holds processors until it is released or its process ends.
type Reservation struct {
	allowed    unix.CPUSet // as it was made
	processors []int
	locks      []*os.File
}

// UnavailableError says that there are not as many free processors as were wanted, beside one for the rest.
type UnavailableError struct {
	Wanted   int
	Free     int
	Reason   string // why the first of the others is not free, "" where this process may use too few
	Reserved []int  // by other runs
}

func (e *UnavailableError) Error() string {
	text := fmt.Sprintf("%d processors are wanted, beside one for the rest, and %d are free", e.Wanted, e.Free)
	if e.Reason == "" {
		return text
	}
	return text + ": " + e.Reason
}

// note keeps why a processor is not free.
func (e *UnavailableError) note(processor int, reason string) {
	if e.Reason == "" {
		e.Reason = fmt.Sprintf("processor %d %s", processor, reason)
	}
}

// Reserve takes as many processors as are wanted, the highest ones that are free, and leaves one at least. A processor is free if
// no other run has reserved it, and no process of others is bound to it or to a part of the processors that it is in. The error is
// an *UnavailableError, or that of reading /proc or this process's own binding.
func Reserve(wanted int) (*Reservation, error) {
	allowed, err := own.allowed()
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
			unavailable.note(processor, "is reserved by another run")
		case err != nil: // without sysfs nothing is known of other runs
			unavailable.note(processor, fmt.Sprintf("can't be locked: %v", err))
		case holder != nil:
			lock.Close()
			unavailable.note(processor, holder.String())
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
	if err := own.avoid(r.processors); err != nil {
		r.unlock()
		return nil, err
	}
	return r, nil
}

// lockProcessor locks a processor against other runs, with unix.EWOULDBLOCK where one has it. The kernel ends the lock with the
// process, however that ends; the folder itself is locked, so that nothing is left behind.
func lockProcessor(processor int) (*os.File, error) {
	folder, err := os.Open(filepath.Join(processorFolder, fmt.Sprintf("cpu%d", processor)))
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(folder.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		folder.Close()
		return nil, err
	}
	return folder, nil
}

// Processors are those that are held, highest first.
func (r *Reservation) Processors() []int { return r.processors }

// Release gives the processors back, and lets this process use them again. Another call does nothing.
func (r *Reservation) Release() {
	own.release(r.processors)
	r.unlock()
}

func (r *Reservation) unlock() {
	for _, lock := range r.locks {
		lock.Close()
	}
	r.locks, r.processors = nil, nil
}

// Unbind lets the processes of a group use all processors that this one may use. The error is that of reading /proc.
func (r *Reservation) Unbind(group int) error { return bindGroup(group, &r.allowed) }

// Avoid keeps this process's threads, and so the processes that it starts, off processors that other runs have reserved. What it
// returns takes that back.
func Avoid(processors []int) (release func(), err error) {
	if err := own.avoid(processors); err != nil {
		return nil, err
	}
	return func() { own.release(processors) }, nil
}

// Intruder says which other process has been bound to a held processor since, "" for none. The error is that of reading /proc.
func (r *Reservation) Intruder() (string, error) {
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
