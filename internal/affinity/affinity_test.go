package affinity

import (
	"errors"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"chalkferry/internal/affinity/affinitytest"
)

// reserveTimeout is how long a test waits for processors that another run or process holds.
const reserveTimeout = 30 * time.Second

// reserve reserves processors until the end of the test, and waits while others hold them.
func reserve(t *testing.T, wanted int) *Reservation {
	t.Helper()
	r, err := Reserve(wanted)
	for deadline := time.Now().Add(reserveTimeout); err != nil && time.Now().Before(deadline); r, err = Reserve(wanted) {
		time.Sleep(100 * time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Release)
	return r
}

// allowedProcessors returns the processors that a thread may use, 0 for the calling thread.
func allowedProcessors(t *testing.T, thread int) unix.CPUSet {
	t.Helper()
	var set unix.CPUSet
	if err := unix.SchedGetaffinity(thread, &set); err != nil {
		t.Fatal(err)
	}
	return set
}

// TestReservedOnce checks that two reservations at the same time never have the same processor, and that a released processor
// is free again.
func TestReservedOnce(t *testing.T) {
	before := allowedProcessors(t, 0)
	first := reserve(t, 1)
	processor := first.Processors()[0]
	second := reserve(t, 1)
	if second.Processors()[0] == processor {
		t.Errorf("both reservations have processor %d", processor)
	}
	if own := allowedProcessors(t, 0); own.IsSet(processor) || own.IsSet(second.Processors()[0]) {
		t.Errorf("this process may use reserved processors: %v", own)
	}
	first.Release()
	second.Release()
	if own := allowedProcessors(t, 0); own != before {
		t.Errorf("after the release this process may use %v, want %v", own, before)
	}
	lock, err := lockProcessor(processor)
	for deadline := time.Now().Add(reserveTimeout); err != nil && time.Now().Before(deadline); lock, err = lockProcessor(processor) {
		time.Sleep(100 * time.Millisecond) // another run may have reserved it
	}
	if err != nil {
		t.Fatalf("processor %d is not free after its release: %v", processor, err)
	}
	lock.Close()
}

// TestTooFew checks that not all processors of the machine can be reserved, as one has to be left, and that the failed attempt
// holds none.
func TestTooFew(t *testing.T) {
	set := allowedProcessors(t, 0)
	var unavailable *UnavailableError
	if _, err := Reserve(set.Count()); !errors.As(err, &unavailable) {
		t.Fatal(err)
	}
	reserve(t, 1)
}

// TestForeignProcess checks that a processor to which another process is bound is not reserved, that a process bound to it
// later is found, and that descendants of this process do not count.
func TestForeignProcess(t *testing.T) {
	reservation := reserve(t, 1)
	processor := reservation.Processors()[0]
	child := exec.Command("sleep", "60")
	if err := StartOn(child, processor); err != nil {
		t.Fatal(err)
	}
	defer child.Wait()
	defer child.Process.Kill()
	if foreignProcess, err := reservation.ForeignProcess(); err != nil || foreignProcess != "" {
		t.Errorf("foreign process is %q, error %v", foreignProcess, err)
	}
	foreignID := affinitytest.ForeignProcess(t, func(shell *exec.Cmd) error { return StartOn(shell, processor) })
	foreignProcess, err := reservation.ForeignProcess()
	if err != nil || !strings.Contains(foreignProcess, strconv.Itoa(foreignID)) {
		t.Errorf("foreign process is %q, error %v", foreignProcess, err)
	}
	reservation.Release()
	if other := reserve(t, 1); other.Processors()[0] == processor {
		t.Errorf("processor %d was reserved though process %d is bound to it", processor, foreignID)
	}
}

// TestUnbind checks that the processes of a group may use all processors again.
func TestUnbind(t *testing.T) {
	reservation := reserve(t, 1)
	before := reservation.allowed
	command := exec.Command("sh", "-c", "sleep 60 & wait")
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := StartOn(command, reservation.Processors()[0]); err != nil {
		t.Fatal(err)
	}
	defer command.Wait()
	defer unix.Kill(-command.Process.Pid, unix.SIGKILL)
	for deadline := time.Now().Add(5 * time.Second); len(groupMembers(t, command.Process.Pid)) < 2 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	if err := reservation.Unbind(command.Process.Pid); err != nil {
		t.Fatal(err)
	}
	members := groupMembers(t, command.Process.Pid)
	if len(members) != 2 {
		t.Fatalf("%d processes in the group, want 2", len(members))
	}
	for _, id := range members {
		if allowedProcessors(t, id) != before {
			t.Errorf("process %d is still bound", id)
		}
	}
}

// groupMembers returns the ids of the processes of a process group.
func groupMembers(t *testing.T, group int) (members []int) {
	t.Helper()
	entries, err := os.ReadDir("/proc")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if id, err := strconv.Atoi(entry.Name()); err == nil {
			if processGroup, err := unix.Getpgid(id); err == nil && processGroup == group {
				members = append(members, id)
			}
		}
	}
	return members
}
