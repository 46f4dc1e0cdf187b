package main

import (
	"context"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"chalkferry/internal/faultinject"
	"chalkferry/internal/rehearse"
)

// runUnderFaults runs a scenario with proxies whose system calls fail as planned, and returns the report. A failed check of
// the scenario is an error of the test and logged with the plan; a plan of which no fault was injected is an error, too. logs
// is the folder for the proxies' logs, "" for none.
func runUnderFaults(t *testing.T, s *rehearse.Scenario, plan faultinject.Plan, logs string) *rehearse.Report {
	t.Helper()
	controller, err := faultinject.New(plan)
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv(faultinject.ControllerVariable, controller.Environment())
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	r, err := rehearse.Run(context.Background(), s, rehearse.Options{Proxy: self, Logs: logs})
	controller.Close()
	if err != nil {
		t.Fatalf("%v\n%v", err, plan)
	}
	for _, err := range controller.Errors() {
		t.Errorf("fault injection failed: %v", err)
	}
	failures, injected := controller.Failures(), 0
	for _, f := range plan.Faults {
		t.Logf("injected %d times: %v", failures[f.String()], f)
		injected += failures[f.String()]
	}
	if len(plan.Faults) > 0 && injected == 0 { // the seccomp filter must still match the proxy's calls
		t.Errorf("no call failed by plan %v", plan)
	}
	for _, text := range r.Failed {
		t.Error(text)
	}
	if len(r.Failed) > 0 {
		for _, broken := range r.Rules[:min(len(r.Rules), 5)] {
			t.Log(broken)
		}
		t.Logf("scenario seed %d, %v; %+v", s.Seed, plan, r.Clients)
	}
	return r
}

// calmScenario returns the built-in scenario "calm" with another seed, length and rate, in sessions a second. The scenario
// fails if an open session is cut off.
func calmScenario(t *testing.T, seed int64, length time.Duration, rate float64) *rehearse.Scenario {
	t.Helper()
	s, err := rehearse.Load("calm")
	if err != nil {
		t.Fatal(err)
	}
	s.Seed = seed
	if err := s.Shorten(length); err != nil {
		t.Fatal(err)
	}
	s.SetRate(rate)
	s.Expect.NoCutOff = true
	return s
}

// TestFaults runs proxies in which system calls fail temporarily, with errors that their manual pages document. It checks that
// no rule of the protocol is broken, no open session is cut off and no proxy crashes.
func TestFaults(t *testing.T) {
	const begin = 500 * time.Millisecond // of the faults, after the process's start
	fault := func(call uintptr, target faultinject.Target, errno unix.Errno, every, run int) faultinject.Fault {
		return faultinject.Fault{Call: call, Target: target, Errno: errno, Every: every, Run: run, From: begin}
	}
	// anyOf has calls fail with each of some errors in turn, together once in every calls on average.
	anyOf := func(call uintptr, target faultinject.Target, every, run int, errnos ...unix.Errno) (faults []faultinject.Fault) {
		for _, errno := range errnos {
			faults = append(faults, fault(call, target, errno, every*len(errnos), run))
		}
		return faults
	}
	// outages makes every matching call fail for outageLength, one kind of fault after the other.
	const outageLength, outageStep = 200 * time.Millisecond, 300 * time.Millisecond
	outages := func(faults ...faultinject.Fault) []faultinject.Fault {
		for i := range faults {
			faults[i].Every, faults[i].From = 1, begin+time.Duration(i)*outageStep
			faults[i].To = faults[i].From + outageLength
		}
		return faults
	}
	for name, faults := range map[string][]faultinject.Fault{
		"none": nil,
		"outages": outages(fault(unix.SYS_ACCEPT4, faultinject.AnyTarget, unix.ENFILE, 1, 1),
			fault(unix.SYS_READ, faultinject.Socket, unix.EINTR, 1, 1),
			fault(unix.SYS_WRITE, faultinject.Socket, unix.ENOBUFS, 1, 1),
			fault(unix.SYS_EPOLL_CTL, faultinject.NotEventFD, unix.ENOMEM, 1, 1),
			fault(unix.SYS_WRITE, faultinject.Socket, unix.EINTR, 1, 1),
			fault(unix.SYS_SOCKET, faultinject.AnyTarget, unix.EMFILE, 1, 1),
			fault(unix.SYS_CONNECT, faultinject.AnyTarget, unix.EADDRNOTAVAIL, 1, 1),
			fault(unix.SYS_FCNTL, faultinject.Socket, unix.EMFILE, 1, 1),
			fault(unix.SYS_READ, faultinject.Socket, unix.ENOMEM, 1, 1),
			fault(unix.SYS_WRITE, faultinject.EventFD, unix.EINTR, 1, 1)),
		"accept": anyOf(unix.SYS_ACCEPT4, faultinject.AnyTarget, 4, 2, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM,
			unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.ENETUNREACH, unix.EPERM),
		"read":  anyOf(unix.SYS_READ, faultinject.Socket, 10, 2, unix.EINTR, unix.EAGAIN, unix.ENOMEM),
		"write": anyOf(unix.SYS_WRITE, faultinject.Socket, 10, 2, unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM),
		// EAGAIN is not injected into writes to an eventfd: they return it only while the counter is full, see eventfd(2), and the
		// eventfd is readable then. Go's runtime relies on that.
		"wake-up": append(anyOf(unix.SYS_WRITE, faultinject.EventFD, 5, 2, unix.EINTR),
			anyOf(unix.SYS_READ, faultinject.EventFD, 10, 2, unix.EINTR, unix.EAGAIN)...),
		"epoll_ctl": anyOf(unix.SYS_EPOLL_CTL, faultinject.NotEventFD, 6, 3, unix.ENOMEM, unix.ENOSPC),
		"waits": append(anyOf(faultinject.EpollWait, faultinject.AnyTarget, 4, 2, unix.EINTR),
			anyOf(unix.SYS_EPOLL_PWAIT, faultinject.AnyTarget, 4, 2, unix.EINTR)...),
		"connect": append(anyOf(unix.SYS_SOCKET, faultinject.AnyTarget, 6, 3, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM),
			anyOf(unix.SYS_CONNECT, faultinject.AnyTarget, 6, 3, unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EAGAIN, unix.EINTR)...),
		"hand-over": append(anyOf(unix.SYS_FCNTL, faultinject.Socket, 6, 2, unix.EMFILE),
			append(anyOf(unix.SYS_GETPEERNAME, faultinject.Socket, 6, 1, unix.ENOBUFS),
				anyOf(unix.SYS_SETSOCKOPT, faultinject.Socket, 6, 1, unix.ENOBUFS)...)...),
		"options": append(anyOf(unix.SYS_GETSOCKOPT, faultinject.Socket, 6, 2, unix.ENOBUFS),
			anyOf(unix.SYS_GETSOCKNAME, faultinject.Socket, 6, 2, unix.ENOBUFS)...),
		"broken":   anyOf(unix.SYS_READ, faultinject.Socket, 40, 1, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH),
		"shutdown": append(anyOf(unix.SYS_SHUTDOWN, faultinject.Socket, 2, 2, unix.ENOBUFS), anyOf(unix.SYS_RECVFROM, faultinject.Socket, 4, 2, unix.EINTR, unix.ENOMEM)...),
		"parts": append(anyOf(unix.SYS_READ, faultinject.Socket, 2, 1, faultinject.Partial),
			anyOf(unix.SYS_WRITE, faultinject.Socket, 2, 1, faultinject.Partial)...),
	} {
		t.Run(name, func(t *testing.T) {
			runUnderFaults(t, calmScenario(t, 1, 3*time.Second, 40), faultinject.Plan{Seed: 1, Faults: faults}, "")
		})
	}
}
