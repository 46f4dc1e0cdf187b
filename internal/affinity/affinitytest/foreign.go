// Package affinitytest has helpers for tests that deal with processes bound to processors. Only tests import it.
package affinitytest

import (
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// ForeignProcess starts a process that is not a descendant of the test process and ends it with the test. The start function
// starts the given command, bound as the test needs it. ForeignProcess returns the process id.
func ForeignProcess(t testing.TB, start func(*exec.Cmd) error) (id int) {
	t.Helper()
	shell := exec.Command("sh", "-c", "sleep 60 >/dev/null 2>&1 & echo $!") // the sleep outlives the shell, its parent
	var output strings.Builder
	shell.Stdout = &output
	if err := start(shell); err != nil {
		t.Fatal(err)
	}
	if err := shell.Wait(); err != nil {
		t.Fatal(err)
	}
	id, err := strconv.Atoi(strings.TrimSpace(output.String()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Kill(id, unix.SIGKILL) })
	return id
}
