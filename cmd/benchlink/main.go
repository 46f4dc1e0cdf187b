// Benchlink runs the decisions of many proxies, as instances in one process, on the simulator's wire: it reads batches
// of events from standard input and writes what the decision module answers to standard output. It has no clock and no
// sockets of its own; the settings are read by the same package as the proxy's.
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

// proxy is one instance.
type proxy struct {
	start    time.Duration
	balancer *choice.Balancer
}

// link connects the instances to the wire.
type link struct {
	proxies map[benchwire.InstanceID]proxy
	reply   benchwire.Reply
	entries []choice.Entry
}

// serve answers batches until the input ends.
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
			if err := l.handle(&batch); err != nil {
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

// handle hands the next record of a batch to its instance.
func (l *link) handle(batch *benchwire.Batch) error {
	code, fields, err := batch.Record()
	if err != nil {
		return err
	}
	instance := benchwire.InstanceID(fields.U16())
	if code == benchwire.CodeStart {
		return l.startProxy(instance, fields, batch.Clock)
	}
	p, known := l.proxies[instance]
	if !known {
		return fmt.Errorf("code %d for proxy %d, which has not started", code, instance)
	}
	now := batch.Clock - p.start
	switch code {
	case benchwire.CodeProbed:
		return ignoreProbe(&fields)
	case benchwire.CodeNote:
		return p.note(now, &fields)
	case benchwire.CodeArrival:
		return p.arrival(now, &fields)
	case benchwire.CodeOpenHeld:
		return p.openHeld(now, &fields)
	case benchwire.CodeTick:
		return p.tick(now, &fields)
	case benchwire.CodePeer:
		return l.peerMessage(now, instance, p, &fields)
	case benchwire.CodeStop:
		delete(l.proxies, instance)
		return fields.End()
	case benchwire.CodeSettled:
		return p.settled(now, &fields)
	case benchwire.CodeOpened:
		return p.opened(now, &fields)
	case benchwire.CodeList:
		return l.list(now, p, &fields)
	case benchwire.CodeLeft:
		return p.left(now, &fields)
	}
	return fmt.Errorf("unknown code %d", code)
}

// startProxy makes an instance by its settings.
func (l *link) startProxy(instance benchwire.InstanceID, fields benchwire.Fields, clock time.Duration) error {
	seed, settings := fields.U64(), fields.Bytes(4)
	if err := fields.End(); err != nil {
		return err
	}
	var (
		listeners []choice.Listener
		dials     choice.DialLimits
		budget    choice.RetryBudget
		list      choice.ListSettings
		cold      choice.ColdSettings
		messages  choice.PeerReportSettings
	)
	if err := start.ParseBalancer(settings, &listeners, &dials, &budget, &list, &cold, &messages); err != nil {
		return err
	}
	rng := rand.New(rand.NewSource(int64(seed)))
	balancer := choice.New(front{instance: instance, reply: &l.reply}, rng, listeners, dials, budget, list, cold, messages)
	l.proxies[instance] = proxy{start: clock, balancer: balancer}
	return nil
}

// peerMessage hands on what another proxy has sent; a malformed message is logged and ignored.
func (l *link) peerMessage(now time.Duration, instance benchwire.InstanceID, p proxy, fields *benchwire.Fields) error {
	from, payload := fields.U16(), fields.Bytes(2)
	if err := fields.End(); err != nil {
		return err
	}
	server, delay, err := benchwire.ParseDelayReport(payload)
	if err != nil {
		l.reply.Log(instance, fmt.Sprintf("a word from proxy %d is ignored: %v", from, err))
		return nil
	}
	p.balancer.ReceiveOverload(now, server, delay)
	return nil
}

func (l *link) list(now time.Duration, p proxy, fields *benchwire.Fields) error {
	var kind choice.ListKind
	kind, l.entries = fields.List(l.entries[:0], p.start)
	if err := fields.End(); err != nil {
		return err
	}
	p.balancer.ApplyList(now, kind, l.entries)
	return nil
}
