package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"chalkferry/internal/faultinject"
)

// TestLastingFailures guards against an event loop that spins: a system call fails each time for a second while its descriptor
// stays ready, so that the loop would repeat the call without a pause. It bounds the number of failed calls, and checks that
// open and new sessions work again once the failure has passed.
func TestLastingFailures(t *testing.T) {
	const (
		failFrom = 2 * time.Second // since the process's start
		failFor  = time.Second
		// maxRests is how many pauses fit into failFor. A descriptor is paused for 1, 2, 4, 8 and then 10 ms after a failure,
		// which gives about a hundred; 20 more are allowed for the first, shorter pauses and for events before them.
		maxRests = int(failFor/(10*time.Millisecond)) + 20
	)
	for _, test := range []struct {
		name     string
		fault    faultinject.Fault
		maxCalls int // that may fail between two pauses: one for each descriptor with data to read, or a batch of five accepts
	}{
		{"read without memory", faultinject.Fault{Call: unix.SYS_READ, Target: faultinject.Socket, Errno: unix.ENOMEM}, 2},
		{"read not ready though bytes have come", faultinject.Fault{Call: unix.SYS_READ, Target: faultinject.Socket, Errno: unix.EAGAIN}, 2},
		{"accept without descriptors", faultinject.Fault{Call: unix.SYS_ACCEPT4, Errno: unix.ENFILE}, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.fault.Every, test.fault.From, test.fault.To = 1, failFrom, failFrom+failFor
			start := time.Now()
			s := startProxyProcess(t, nil, &faultinject.Plan{Seed: 1, Faults: []faultinject.Fault{test.fault}})
			s.waitSessionAccepted(10 * time.Second)
			conn, err := net.Dial("tcp", s.listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(start.Add(failFrom + failFor + 5*time.Second))
			lines := bufio.NewReader(conn)
			fmt.Fprint(conn, openLine())
			if answer, err := lines.ReadString('\n'); !strings.HasPrefix(answer, "UP ") {
				t.Fatalf("the session is answered %q, %v", answer, err)
			}
			time.Sleep(time.Until(start.Add(failFrom + failFor/10)))
			fmt.Fprint(conn, "a line\r\n") // data that is ready while reads fail
			time.Sleep(time.Until(start.Add(failFrom + failFor/5)))
			answered := make(chan string, 1)
			go func() { answered <- s.ask(openLine(), 2*time.Second) }() // a new connection, which is accepted and read
			if answer, err := lines.ReadString('\n'); err != nil {
				t.Errorf("the open session brings %q, %v once the failure has passed", answer, err)
			}
			if answer := <-answered; !strings.HasPrefix(answer, "UP ") && !strings.HasPrefix(answer, "BUSY") {
				t.Errorf("the new session is answered %q", answer)
			}
			calls := s.controller.Failures()[test.fault.String()]
			t.Logf("%d calls failed", calls)
			if most := test.maxCalls * maxRests; calls == 0 || calls > most {
				t.Errorf("%d calls failed within %v, want 1 to %d", calls, failFor, most)
			}
		})
	}
}
