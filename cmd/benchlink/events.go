package main

import (
	"time"

	"chalkferry/choice"
	"chalkferry/internal/benchwire"
)

// Kinds of a measurement.
const (
	measuredLoad  = 1 // of a session, in microseconds of work a second
	measuredDelay = 2 // of a server's messages, in milliseconds
)

// Bits of an arrival's options. Other bits are ignored.
const (
	optionLoad        = 1 // the load field holds a hint
	optionMidFlow     = 8
	optionReconnected = 16
)

// ignoreProbeResult checks the form of a probe's result and drops it: benchlink sends no probes.
func ignoreProbeResult(f *benchwire.Fields) error {
	f.Outcome()
	f.U32()
	f.Duration()
	f.SkipLoadReport()
	return f.CheckEnd()
}

// handleMeasurement passes on a session's load or a server's delay. Other kinds are ignored.
func (p proxyInstance) handleMeasurement(now time.Duration, f *benchwire.Fields) error {
	id, dial, server := choice.SessionID(f.U32()), choice.DialNumber(f.U16()), choice.ServerID(f.U32())
	kind, value := f.U8(), f.F32()
	if err := f.CheckEnd(); err != nil {
		return err
	}
	switch kind {
	case measuredLoad:
		p.balancer.RecordSessionLoad(now, id, dial, value/1e6)
	case measuredDelay:
		p.balancer.RecordServerDelay(now, server, time.Duration(value*float64(time.Millisecond)))
	}
	return nil
}

// handleArrival places a new session.
func (p proxyInstance) handleArrival(now time.Duration, f *benchwire.Fields) error {
	a := choice.Arrival{
		ID:       choice.SessionID(f.U32()),
		Tenant:   choice.TenantID(f.U32()),
		Listener: choice.ListenerID(f.U16()),
		TimeLeft: f.Duration(),
	}
	load := f.F64()
	a.Group, a.Client = choice.Key(f.U64()), choice.Key(f.U64())
	setOptions(&a, f.U8(), load)
	if err := f.CheckEnd(); err != nil {
		return err
	}
	return p.balancer.PlaceSession(now, a)
}

// handleAdoptSession takes over a session that is already open at a server when its proxy first learns of it.
func (p proxyInstance) handleAdoptSession(now time.Duration, f *benchwire.Fields) error {
	a := choice.Arrival{
		ID:       choice.SessionID(f.U32()),
		Listener: choice.ListenerID(f.U16()),
		Tenant:   choice.TenantID(f.U32()),
		Client:   choice.Key(f.U64()),
		TimeLeft: f.Duration(),
	}
	load := f.F64()
	a.Group = choice.Key(f.U64())
	setOptions(&a, f.U8(), load)
	server := choice.ServerID(f.U32())
	if err := f.CheckEnd(); err != nil {
		return err
	}
	return p.balancer.AdoptSession(now, a, server)
}

// setOptions sets the fields of an arrival that its option bits select. The load hint is in milliseconds of work a second.
func setOptions(a *choice.Arrival, options uint8, load float64) {
	a.MidFlow = options&optionMidFlow != 0
	a.Reconnected = options&optionReconnected != 0
	if options&optionLoad != 0 {
		a.Load = load / 1000
	}
}

// handleTimer passes on a timer that has fired.
func (p proxyInstance) handleTimer(now time.Duration, f *benchwire.Fields) error {
	token := choice.TimerToken(f.U32())
	if err := f.CheckEnd(); err != nil {
		return err
	}
	p.balancer.HandleTimer(now, token)
	return nil
}

// handleDialEnd passes on how a dial ended, and whether its session ended with it.
func (p proxyInstance) handleDialEnd(now time.Duration, f *benchwire.Fields) error {
	id, dial, server := choice.SessionID(f.U32()), choice.DialNumber(f.U16()), choice.ServerID(f.U32())
	outcome, duration, sessionEnded := f.Outcome(), f.Duration(), f.U8() != 0
	f.SkipLoadReport()
	if err := f.CheckEnd(); err != nil {
		return err
	}
	p.balancer.HandleDialEnd(now, id, dial, server, outcome, duration, sessionEnded)
	return nil
}

// handleOpened passes on that a server has accepted a session.
func (p proxyInstance) handleOpened(now time.Duration, f *benchwire.Fields) error {
	id, server := choice.SessionID(f.U32()), choice.ServerID(f.U32())
	dial, duration := choice.DialNumber(f.U16()), f.Duration()
	if err := f.CheckEnd(); err != nil {
		return err
	}
	p.balancer.HandleOpened(now, id, server, dial, duration)
	return nil
}

// handleClientGone passes on that a session's client has gone.
func (p proxyInstance) handleClientGone(now time.Duration, f *benchwire.Fields) error {
	id := choice.SessionID(f.U32())
	if err := f.CheckEnd(); err != nil {
		return err
	}
	p.balancer.HandleClientGone(now, id)
	return nil
}
