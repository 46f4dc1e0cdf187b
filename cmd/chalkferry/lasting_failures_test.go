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

// TestLastingFailures guards against a loop that asks the kernel without a pause while a call fails each time and its descriptor stays ready.
func TestLastingFailures(t *testing.T) {
	const (
		failFrom = 2 * time.Second // since the process's start
		failFor  = time.Second
		// A descriptor rests for 1, 2, 4, 8 and then 10 ms after a failure, so that a second has some hundred rests; more are
		// allowed for the first, shorter ones and for events before them.
		rests = int(failFor/(10*time.Millisecond)) + 20
	)
	for _, test := range []struct {
		name      string
		fault     faultinject.Fault
		callsEach int // calls that may fail between two rests: one for each descriptor with something to be read, or five accepts
	}{
		{"read without memory", faultinject.Fault{Call: unix.SYS_READ, Target: faultinject.Socket, Errno: unix.ENOMEM}, 2},
		{"read not ready though bytes have come", faultinject.Fault{Call: unix.SYS_READ, Target: faultinject.Socket, Errno: unix.EAGAIN}, 2},
		{"accept without descriptors", faultinject.Fault{Call: unix.SYS_ACCEPT4, Errno: unix.ENFILE}, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.fault.Every, test.fault.From, test.fault.To = 1, failFrom, failFrom+failFor
			began := time.Now()
			s := serveOne(t, nil, &faultinject.Plan{Seed: 1, Faults: []faultinject.Fault{test.fault}})
			s.awaitSession(10 * time.Second)
			conn, err := net.Dial("tcp", s.listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(began.Add(failFrom + failFor + 5*time.Second))
			lines := bufio.NewReader(conn)
			fmt.Fprint(conn, open())
			if answer, err := lines.ReadString('\n'); !strings.HasPrefix(answer, "UP ") {
				t.Fatalf("a session is answered %q, %v", answer, err)
			}
			time.Sleep(time.Until(began.Add(failFrom + failFor/10)))
			fmt.Fprint(conn, "a line\r\n") // to be read while reads fail
			time.Sleep(time.Until(began.Add(failFrom + failFor/5)))
			answered := make(chan string, 1)
			go func() { answered <- s.ask(open(), 2*time.Second) }() // to be accepted, and read
			if answer, err := lines.ReadString('\n'); err != nil {
				t.Errorf("a session brings %q, %v once the failure has passed", answer, err)
			}
			if answer := <-answered; !strings.HasPrefix(answer, "UP ") && !strings.HasPrefix(answer, "BUSY") {
				t.Errorf("a new session is answered %q", answer)
			}
			calls := s.controller.Failures()[test.fault.String()]
			t.Logf("%d calls failed", calls)
			if most := test.callsEach * rests; calls == 0 || calls > most {
				t.Errorf("%d calls failed within %v, at most %d are to be made", calls, failFor, most)
			}
		})
	}
}
