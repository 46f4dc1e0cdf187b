// Package affinitytest has what tests of bound processes share. It is linked by tests only.
package affinitytest

import (
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// ForeignProcess starts a process that is not a descendant of the test's, as start binds it, and ends it with the test. It returns
// the process's id.
func ForeignProcess(t testing.TB, start func(*exec.Cmd) error) (id int) {
	t.Helper()
	shell := exec.Command("sh", "-c", "sleep 60 >/dev/null 2>&1 & echo $!") // the sleep outlives its parent, the shell
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
