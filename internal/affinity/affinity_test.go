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

// reservePatience is how long a test waits for processors that another run or process has.
const reservePatience = 30 * time.Second

func reserve(t *testing.T, wanted int) *Reservation {
	t.Helper()
	r, err := Reserve(wanted)
	for limit := time.Now().Add(reservePatience); err != nil && time.Now().Before(limit); r, err = Reserve(wanted) {
		time.Sleep(100 * time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Release)
	return r
}

// processorsOf are those that a thread may use.
func processorsOf(t *testing.T, thread int) unix.CPUSet {
	t.Helper()
	var set unix.CPUSet
	if err := unix.SchedGetaffinity(thread, &set); err != nil {
		t.Fatal(err)
	}
	return set
}

// TestReservedOnce: two runs beside one another never have the same processor, and what is released is free again.
func TestReservedOnce(t *testing.T) {
	before := processorsOf(t, 0)
	first := reserve(t, 1)
	processor := first.Processors()[0]
	second := reserve(t, 1)
	if second.Processors()[0] == processor {
		t.Errorf("both have processor %d", processor)
	}
	if own := processorsOf(t, 0); own.IsSet(processor) || own.IsSet(second.Processors()[0]) {
		t.Errorf("this process may use reserved processors: %v", own)
	}
	first.Release()
	second.Release()
	if own := processorsOf(t, 0); own != before {
		t.Errorf("this process may use %v and not %v", own, before)
	}
	lock, err := lockProcessor(processor)
	for limit := time.Now().Add(reservePatience); err != nil && time.Now().Before(limit); lock, err = lockProcessor(processor) {
		time.Sleep(100 * time.Millisecond) // another run may have it
	}
	if err != nil {
		t.Fatalf("processor %d is not free once it is released: %v", processor, err)
	}
	lock.Close()
}

// TestTooFew: all processors of the machine can't be reserved, as one has to be left, and none is held after that.
func TestTooFew(t *testing.T) {
	set := processorsOf(t, 0)
	var unavailable *UnavailableError
	if _, err := Reserve(set.Count()); !errors.As(err, &unavailable) {
		t.Fatal(err)
	}
	reserve(t, 1)
}

// TestForeignProcess: a processor that a process of others is bound to is not taken, and one that is bound to it later is found;
// descendants of this process are not others.
func TestForeignProcess(t *testing.T) {
	held := reserve(t, 1)
	processor := held.Processors()[0]
	child := exec.Command("sleep", "60")
	if err := StartOn(child, processor); err != nil {
		t.Fatal(err)
	}
	defer child.Wait()
	defer child.Process.Kill()
	if intruder, err := held.Intruder(); err != nil || intruder != "" {
		t.Errorf("%q, %v", intruder, err)
	}
	foreign := affinitytest.ForeignProcess(t, func(shell *exec.Cmd) error { return StartOn(shell, processor) })
	intruder, err := held.Intruder()
	if err != nil || !strings.Contains(intruder, strconv.Itoa(foreign)) {
		t.Errorf("%q, %v", intruder, err)
	}
	held.Release()
	if other := reserve(t, 1); other.Processors()[0] == processor {
		t.Errorf("processor %d is taken though process %d is bound to it", processor, foreign)
	}
}

// TestUnbind: the processes of a group may use all processors again.
func TestUnbind(t *testing.T) {
	held := reserve(t, 1)
	before := held.allowed
	command := exec.Command("sh", "-c", "sleep 60 & wait")
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := StartOn(command, held.Processors()[0]); err != nil {
		t.Fatal(err)
	}
	defer command.Wait()
	defer unix.Kill(-command.Process.Pid, unix.SIGKILL)
	for limit := time.Now().Add(5 * time.Second); len(groupMembers(t, command.Process.Pid)) < 2 && time.Now().Before(limit); {
		time.Sleep(10 * time.Millisecond)
	}
	if err := held.Unbind(command.Process.Pid); err != nil {
		t.Fatal(err)
	}
	members := groupMembers(t, command.Process.Pid)
	if len(members) != 2 {
		t.Fatalf("%d processes in the group", len(members))
	}
	for _, id := range members {
		if processorsOf(t, id) != before {
			t.Errorf("process %d is still bound", id)
		}
	}
}

func groupMembers(t *testing.T, group int) (members []int) {
	t.Helper()
	entries, err := os.ReadDir("/proc")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if id, err := strconv.Atoi(entry.Name()); err == nil {
			if its, err := unix.Getpgid(id); err == nil && its == group {
				members = append(members, id)
			}
		}
	}
	return members
}
