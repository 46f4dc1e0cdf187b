// Benchlink runs the decisions of many proxies on the bench's wire.
package main

import (
	"fmt"
	"io"
	"math/rand"
	"os"
	"time"

	"chalkferry/choice"
	"chalkferry/internal/benchwire"
	"chalkferry/internal/start"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// front writes one instance's answers into the reply at hand.
type front struct {
	inst  benchwire.InstanceID
	reply *benchwire.Reply
}

func (f front) Dial(id choice.SessionID, to choice.ServerID, limit time.Duration) {
	f.reply.Dial(f.inst, id, to, limit)
}

func (f front) Refuse(id choice.SessionID, retryAfter time.Duration) {
	f.reply.Refuse(f.inst, id, retryAfter)
}
func (f front) TearDown(id choice.SessionID)                  { f.reply.TearDown(f.inst, id) }
func (f front) Move(id choice.SessionID)                      { f.reply.Move(f.inst, id) }
func (f front) Timer(after time.Duration, token choice.Token) { f.reply.Timer(f.inst, after, token) }
func (f front) Tell(at choice.ServerID, delay time.Duration)  { f.reply.Publish(f.inst, at, delay) }
func (f front) Watch()                                        { f.reply.Watch(f.inst) }
func (f front) Log(line string)                               { f.reply.Log(f.inst, line) }

type proxy struct {
	start    time.Duration
	balancer *choice.Balancer
}

type link struct {
	proxies map[benchwire.InstanceID]proxy
	reply   benchwire.Reply
	entries []choice.Entry
}

func serve(in io.Reader, out io.Writer) error {
	reader := benchwire.NewReader(in)
	l := link{proxies: make(map[benchwire.InstanceID]proxy)}
	for {
		batch, err := reader.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		l.reply.Start(batch.Number)
		for i := range batch.Records {
			if err := l.record(&batch); err != nil {
				return fmt.Errorf("batch %d, record %d: %w", batch.Number, i, err)
			}
		}
		if err := batch.End(); err != nil {
			return fmt.Errorf("batch %d: %w", batch.Number, err)
		}
		if _, err := l.reply.WriteTo(out); err != nil {
			return err
		}
	}
}

func (l *link) record(batch *benchwire.Batch) error {
	code, f, err := batch.Record()
	if err != nil {
		return err
	}
	inst := benchwire.InstanceID(f.U16())
	if code == benchwire.CodeStart {
		return l.startProxy(inst, f, batch.Clock)
	}
	p, known := l.proxies[inst]
	if !known {
		return fmt.Errorf("code %d for proxy %d, which has not started", code, inst)
	}
	now, b := batch.Clock-p.start, p.balancer
	switch code {
	case benchwire.CodeProbed:
		f.Outcome()
		f.U32()
		f.Duration()
		f.SkipLoadReport()
		return f.End() // no probe is ever sent
	case benchwire.CodeNote:
		id, no, server := choice.SessionID(f.U32()), choice.DialNo(f.U16()), choice.ServerID(f.U32())
		sort, level := f.U8(), f.F32()
		if err := f.End(); err != nil {
			return err
		}
		switch sort {
		case 1:
			b.LoadNoted(now, id, no, level/1e6)
		case 2:
			b.DelayNoted(now, server, time.Duration(level*float64(time.Millisecond)))
		}
	case benchwire.CodeArrival:
		a := choice.Arrival{ID: choice.SessionID(f.U32()), Tenant: choice.TenantID(f.U32()),
			Listener: choice.ListenerID(f.U16()), Left: f.Duration()}
		load := f.F64()
		a.Group, a.Client = choice.Key(f.U64()), choice.Key(f.U64())
		setOptions(&a, f.U8(), load)
		if err := f.End(); err != nil {
			return err
		}
		return b.Arrive(now, a)
	case benchwire.CodeOpenHeld:
		a := choice.Arrival{ID: choice.SessionID(f.U32()), Listener: choice.ListenerID(f.U16()),
			Tenant: choice.TenantID(f.U32()), Client: choice.Key(f.U64()), Left: f.Duration()}
		load := f.F64()
		a.Group = choice.Key(f.U64())
		setOptions(&a, f.U8(), load)
		server := choice.ServerID(f.U32())
		if err := f.End(); err != nil {
			return err
		}
		return b.Hold(now, a, server)
	case benchwire.CodeTick:
		token := choice.Token(f.U32())
		if err := f.End(); err != nil {
			return err
		}
		b.Tick(now, token)
	case benchwire.CodePeer:
		from, word := f.U16(), f.Bytes(2)
		if err := f.End(); err != nil {
			return err
		}
		at, delay, err := benchwire.Word(word)
		if err != nil {
			l.reply.Log(inst, fmt.Sprintf("a word from proxy %d is ignored: %v", from, err))
			return nil
		}
		b.Told(now, at, delay)
	case benchwire.CodeStop:
		delete(l.proxies, inst)
		return f.End()
	case benchwire.CodeSettled:
		id, no, server := choice.SessionID(f.U32()), choice.DialNo(f.U16()), choice.ServerID(f.U32())
		outcome, took, over := f.Outcome(), f.Duration(), f.U8() != 0
		f.SkipLoadReport()
		if err := f.End(); err != nil {
			return err
		}
		b.Settled(now, id, no, server, outcome, took, over)
	case benchwire.CodeOpened:
		id, server := choice.SessionID(f.U32()), choice.ServerID(f.U32())
		no, took := choice.DialNo(f.U16()), f.Duration()
		if err := f.End(); err != nil {
			return err
		}
		b.Opened(now, id, server, no, took)
	case benchwire.CodeList:
		var kind choice.ListKind
		kind, l.entries = f.List(l.entries[:0], p.start)
		if err := f.End(); err != nil {
			return err
		}
		b.List(now, kind, l.entries)
	case benchwire.CodeLeft:
		id := choice.SessionID(f.U32())
		if err := f.End(); err != nil {
			return err
		}
		b.Left(now, id)
	default:
		return fmt.Errorf("unknown code %d", code)
	}
	return nil
}

// marks reads the marks of an arrival; the hint of its load comes in milliseconds of work a second.
func setOptions(a *choice.Arrival, opts uint8, load float64) {
	a.MidFlow = opts&8 != 0
	a.Returned = opts&16 != 0
	if opts&1 != 0 {
		a.Load = load / 1000
	}
}

func (l *link) startProxy(inst benchwire.InstanceID, f benchwire.Fields, clock time.Duration) error {
	seed, info := f.U64(), f.Bytes(4)
	if err := f.End(); err != nil {
		return err
	}
	var (
		listeners []choice.Listener
		dials     choice.DialLimits
		budget    choice.DialBudget
		list      choice.ListRules
		cold      choice.ColdRule
		words     choice.WordRule
	)
	if err := start.Module(info, &listeners, &dials, &budget, &list, &cold, &words); err != nil {
		return err
	}
	chance := rand.New(rand.NewSource(int64(seed)))
	l.proxies[inst] = proxy{start: clock, balancer: choice.New(front{inst: inst, reply: &l.reply}, chance,
		listeners, dials, budget, list, cold, words)}
	return nil
}
