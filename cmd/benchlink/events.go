package main

import (
	"time"

	"chalkferry/choice"
	"chalkferry/internal/benchwire"
)

// Kinds of a note.
const (
	noteLoad  = 1 // of a session, in microseconds of work a second
	noteDelay = 2 // of a server's messages, in milliseconds
)

// Bits of an arrival's options.
const (
	optionLoad     = 1
	optionMidFlow  = 8
	optionReturned = 16
)

// ignoreProbe reads the result of a probe, as none is ever sent.
func ignoreProbe(f *benchwire.Fields) error {
	f.Outcome()
	f.U32()
	f.Duration()
	f.SkipLoadReport()
	return f.End()
}

func (p proxy) note(now time.Duration, f *benchwire.Fields) error {
	id, dial, server := choice.SessionID(f.U32()), choice.DialNumber(f.U16()), choice.ServerID(f.U32())
	kind, level := f.U8(), f.F32()
	if err := f.End(); err != nil {
		return err
	}
	switch kind {
	case noteLoad:
		p.balancer.RecordSessionLoad(now, id, dial, level/1e6)
	case noteDelay:
		p.balancer.RecordServerDelay(now, server, time.Duration(level*float64(time.Millisecond)))
	}
	return nil
}

func (p proxy) arrival(now time.Duration, f *benchwire.Fields) error {
	a := choice.Arrival{
		ID:       choice.SessionID(f.U32()),
		Tenant:   choice.TenantID(f.U32()),
		Listener: choice.ListenerID(f.U16()),
		TimeLeft: f.Duration(),
	}
	load := f.F64()
	a.Group, a.Client = choice.Key(f.U64()), choice.Key(f.U64())
	setOptions(&a, f.U8(), load)
	if err := f.End(); err != nil {
		return err
	}
	return p.balancer.PlaceSession(now, a)
}

// openHeld is a session that is established at a server when its proxy first sees it.
func (p proxy) openHeld(now time.Duration, f *benchwire.Fields) error {
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
	if err := f.End(); err != nil {
		return err
	}
	return p.balancer.AdoptSession(now, a, server)
}

// setOptions reads the options of an arrival; the hint of its load comes in milliseconds of work a second.
func setOptions(a *choice.Arrival, options uint8, load float64) {
	a.MidFlow = options&optionMidFlow != 0
	a.Reconnected = options&optionReturned != 0
	if options&optionLoad != 0 {
		a.Load = load / 1000
	}
}

func (p proxy) tick(now time.Duration, f *benchwire.Fields) error {
	token := choice.TimerToken(f.U32())
	if err := f.End(); err != nil {
		return err
	}
	p.balancer.HandleTimer(now, token)
	return nil
}

func (p proxy) settled(now time.Duration, f *benchwire.Fields) error {
	id, dial, server := choice.SessionID(f.U32()), choice.DialNumber(f.U16()), choice.ServerID(f.U32())
	outcome, took, over := f.Outcome(), f.Duration(), f.U8() != 0
	f.SkipLoadReport()
	if err := f.End(); err != nil {
		return err
	}
	p.balancer.HandleDialEnd(now, id, dial, server, outcome, took, over)
	return nil
}

func (p proxy) opened(now time.Duration, f *benchwire.Fields) error {
	id, server := choice.SessionID(f.U32()), choice.ServerID(f.U32())
	dial, took := choice.DialNumber(f.U16()), f.Duration()
	if err := f.End(); err != nil {
		return err
	}
	p.balancer.HandleOpened(now, id, server, dial, took)
	return nil
}

func (p proxy) left(now time.Duration, f *benchwire.Fields) error {
	id := choice.SessionID(f.U32())
	if err := f.End(); err != nil {
		return err
	}
	p.balancer.HandleClientGone(now, id)
	return nil
}
