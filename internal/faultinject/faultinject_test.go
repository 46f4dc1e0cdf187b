package faultinject

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// childArgument makes this test binary run as the process under fault injection.
const childArgument = "child-under-faults"

func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == childArgument {
		if Enabled() {
			fmt.Fprintln(os.Stderr, Exec(os.Args[0], os.Args[1:]))
			os.Exit(1)
		}
		child()
		return
	}
	os.Exit(m.Run())
}

// child issues system calls and prints the result of each.
func child() {
	for range 4 {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
		fmt.Printf("socket %v\n", err)
		if err == nil {
			unix.Close(fd)
		}
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	n, err := unix.Write(pair[0], []byte("12345678"))
	fmt.Printf("write %d %v\n", n, err)
	buffer := make([]byte, 16)
	n, err = unix.Read(pair[1], buffer)
	fmt.Printf("read %d %q %v\n", n, buffer[:max(n, 0)], err)
}

// TestSeccompInjection checks that calls of another process fail, or transfer a part, as often as the plan says, that all
// other calls are carried out, and that each injection is counted.
func TestSeccompInjection(t *testing.T) {
	sockets := Fault{Call: unix.SYS_SOCKET, Errno: unix.ENFILE, Every: 1, Max: 2}
	parts := Fault{Call: unix.SYS_WRITE, Target: Socket, Errno: Partial, Every: 1, Max: 1}
	for name, test := range map[string]struct {
		plan Plan
		want string
	}{
		"a plan": {Plan{Seed: 1, Faults: []Fault{sockets, parts}},
			"socket too many open files in system\nsocket too many open files in system\nsocket <nil>\nsocket <nil>\n" +
				"write 4 <nil>\nread 4 \"1234\" <nil>\n"},
		"a plan whose time has not come": {Plan{Seed: 1, Faults: []Fault{{Call: unix.SYS_SOCKET, Errno: unix.ENFILE, Every: 1, From: 1e12}}},
			strings.Repeat("socket <nil>\n", 4) + "write 8 <nil>\nread 8 \"12345678\" <nil>\n"},
	} {
		t.Run(name, func(t *testing.T) {
			controller, err := New(test.plan)
			if err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command(os.Args[0], childArgument)
			cmd.Env = append(os.Environ(), ControllerVariable+"="+controller.Environment())
			out, err := cmd.CombinedOutput()
			controller.Close()
			if err != nil || string(out) != test.want {
				t.Errorf("%v\n%s", err, out)
			}
			if errs := controller.Errors(); len(errs) > 0 {
				t.Error(errs)
			}
			failures := controller.Failures()
			for _, f := range test.plan.Faults {
				if got := failures[f.String()]; got != f.Max {
					t.Errorf("%d failures injected, want %d: %v", got, f.Max, f)
				}
			}
		})
	}
}
