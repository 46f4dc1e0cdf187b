package rehearse

import (
	"bytes"
	"context"
	"errors"
	"math/rand"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// badClientTimeout is the time within which a proxy must answer a bad client with an error or close its connection.
	badClientTimeout = 3 * time.Second
	// minBadClientSpread is the shortest period over which bad clients arrive.
	minBadClientSpread = time.Second
	badClientDialTime  = time.Second
)

// badClients runs clients that send invalid input or nothing, and counts what the proxies do.
type badClients struct {
	sent, answered, closed, unanswered, failed atomic.Int64
}

// invalidInput draws the bytes that a bad client sends: malformed or incomplete lines, or a session that sends at once and
// leaves.
func invalidInput(rng *rand.Rand, listener string) []byte {
	choices := [][]byte{
		[]byte("HELLO\r\n"),
		[]byte("OPEN\r\n"),
		[]byte("OPEN 1 2 c=" + listener + ",d=-5\r\n"),
		[]byte("OPEN 1 2 c=" + listener + ",d=99999999999999999999\r\n"),
		[]byte("OPEN 1 2 c=" + listener + ",d=soon\r\n"),
		[]byte("OPEN 1 2 c=nothing,d=500\r\n"),
		[]byte("OPEN  2 c=" + listener + ",d=500\r\n"),
		[]byte("OPEN 1 2 c=" + listener + ",c=" + listener + ",d=500\r\n"),
		[]byte("OPEN 1 2 c=" + listener),
		bytes.Repeat([]byte("A"), 1<<16),
		bytes.Repeat([]byte("PING\r\n"), 300),
		{0, 1, 2, 3, 0xff, 0xfe, '\r', '\n'},
		[]byte("OPEN 1 2 c=" + listener + ",d=500\r\nM 1\r\nM 2\r\n"),
	}
	return choices[rng.Intn(len(choices))]
}

// send sends bad clients over the fault's duration.
func (b *badClients) send(ctx context.Context, r *rehearsal, f Fault) {
	rng := rand.New(rand.NewSource(r.scenario.Seed + int64(f.At)))
	spread := max(f.Duration.D(), minBadClientSpread)
	offsets := make([]time.Duration, f.Count)
	for i := range offsets {
		offsets[i] = time.Duration(rng.Float64() * float64(spread))
	}
	slices.Sort(offsets)
	startedAt := r.now()
	for i, offset := range offsets {
		if !r.sleep(ctx, startedAt+offset-r.now()) {
			return
		}
		address := r.processes[i%len(r.processes)].address
		var input []byte
		if f.Kind == faultBadClients {
			input = invalidInput(rng, r.scenario.Listeners[0].Name)
		}
		r.faultsRunning.Go(func() { b.runOne(ctx, address, input) })
	}
}

// runOne runs one bad client: it sends its input and reads until it gets an error or its connection is closed.
func (b *badClients) runOne(ctx context.Context, address string, input []byte) {
	conn, err := net.DialTimeout("tcp", address, badClientDialTime)
	if err != nil {
		b.failed.Add(1)
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	defer stop()
	b.sent.Add(1)
	conn.SetDeadline(time.Now().Add(badClientTimeout))
	conn.Write(input) // the proxy may have closed the connection already
	received := make([]byte, 64)
	for {
		n, err := conn.Read(received)
		switch {
		case bytes.Contains(received[:n], []byte("ERR")) || bytes.Contains(received[:n], []byte("BUSY")):
			b.answered.Add(1)
			return
		case err == nil:
			continue
		case !isTimeout(err):
			b.closed.Add(1)
		case ctx.Err() == nil:
			b.unanswered.Add(1)
		}
		return
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
