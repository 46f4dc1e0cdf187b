// Benchlink runs the decision module (package choice) of many simulated proxies, as instances in one process. It reads
// batches of events from the simulator on standard input and writes one reply with the resulting actions for each batch
// to standard output, in the form of package benchwire. It has no clock and no sockets of its own. The settings of an
// instance are read by the same package as the proxy's, internal/start.
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

// proxyInstance is one simulated proxy.
type proxyInstance struct {
	startClock time.Duration // on the simulator's clock; the balancer's times count from it
	balancer   *choice.Balancer
}

// adapter passes the simulator's events to the instances and collects their actions.
type adapter struct {
	instances map[benchwire.InstanceID]proxyInstance
	reply     benchwire.Reply // to the current batch
	entries   []choice.Entry  // buffer for the entries of a list
}

// serve answers batches until the input ends. It returns an error if the input is malformed or ends within a batch.
func serve(in io.Reader, out io.Writer) error {
	reader := benchwire.NewReader(in)
	a := adapter{instances: make(map[benchwire.InstanceID]proxyInstance)}
	for {
		batch, err := reader.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		a.reply.Reset(batch.Number)
		for i := range batch.RecordCount {
			if err := a.handle(&batch); err != nil {
				return fmt.Errorf("batch %d, record %d: %w", batch.Number, i, err)
			}
		}
		if err := batch.CheckEnd(); err != nil {
			return fmt.Errorf("batch %d: %w", batch.Number, err)
		}
		if _, err := a.reply.WriteTo(out); err != nil {
			return err
		}
	}
}

// handle passes the next record of a batch to its instance.
func (a *adapter) handle(batch *benchwire.Batch) error {
	code, fields, err := batch.NextRecord()
	if err != nil {
		return err
	}
	instance := benchwire.InstanceID(fields.U16())
	if code == benchwire.CodeStartInstance {
		return a.startInstance(instance, fields, batch.Clock)
	}
	p, known := a.instances[instance]
	if !known {
		return fmt.Errorf("code %d for proxy %d, which has not started", code, instance)
	}
	now := batch.Clock - p.startClock
	switch code {
	case benchwire.CodeProbeResult:
		return ignoreProbeResult(&fields)
	case benchwire.CodeMeasurement:
		return p.handleMeasurement(now, &fields)
	case benchwire.CodeArrival:
		return p.handleArrival(now, &fields)
	case benchwire.CodeAdoptSession:
		return p.handleAdoptSession(now, &fields)
	case benchwire.CodeTimerFired:
		return p.handleTimer(now, &fields)
	case benchwire.CodePeerMessage:
		return a.handlePeerMessage(now, instance, p, &fields)
	case benchwire.CodeStopInstance:
		delete(a.instances, instance)
		return fields.CheckEnd()
	case benchwire.CodeDialEnd:
		return p.handleDialEnd(now, &fields)
	case benchwire.CodeSessionOpened:
		return p.handleOpened(now, &fields)
	case benchwire.CodeList:
		return a.handleList(now, p, &fields)
	case benchwire.CodeClientGone:
		return p.handleClientGone(now, &fields)
	}
	return fmt.Errorf("unknown code %d", code)
}

// startInstance creates an instance from the settings in a record, in place of an earlier instance of the same id.
func (a *adapter) startInstance(instance benchwire.InstanceID, fields benchwire.Fields, clock time.Duration) error {
	seed, settings := fields.U64(), fields.Bytes(4)
	if err := fields.CheckEnd(); err != nil {
		return err
	}
	var (
		listeners []choice.Listener
		dials     choice.DialLimits
		budget    choice.RetryBudget
		list      choice.ListSettings
		cold      choice.ColdSettings
		reports   choice.PeerReportSettings
	)
	if err := start.ParseBalancer(settings, &listeners, &dials, &budget, &list, &cold, &reports); err != nil {
		return err
	}
	rng := rand.New(rand.NewSource(int64(seed)))
	balancer := choice.New(front{instance: instance, reply: &a.reply}, rng, listeners, dials, budget, list, cold, reports)
	a.instances[instance] = proxyInstance{startClock: clock, balancer: balancer}
	return nil
}

// handlePeerMessage passes on a delay report of another proxy. A malformed one is logged and ignored: it must not end the
// process.
func (a *adapter) handlePeerMessage(now time.Duration, instance benchwire.InstanceID, p proxyInstance,
	fields *benchwire.Fields) error {
	from, payload := fields.U16(), fields.Bytes(2)
	if err := fields.CheckEnd(); err != nil {
		return err
	}
	server, delay, err := benchwire.ParseDelayReport(payload)
	if err != nil {
		a.reply.Log(instance, fmt.Sprintf("a word from proxy %d is ignored: %v", from, err))
		return nil
	}
	p.balancer.ReceiveOverload(now, server, delay)
	return nil
}

// handleList passes on a list of servers, or the failure of its subscription.
func (a *adapter) handleList(now time.Duration, p proxyInstance, fields *benchwire.Fields) error {
	var kind choice.ListKind
	kind, a.entries = fields.List(a.entries[:0], p.startClock)
	if err := fields.CheckEnd(); err != nil {
		return err
	}
	p.balancer.ApplyList(now, kind, a.entries)
	return nil
}
