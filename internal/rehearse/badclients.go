package rehearse

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// badClientTimeout is the time within which a proxy must answer a bad client with an error or close its connection.
	badClientTimeout = 3 * time.Second
	// minBadClientSpread is the shortest period over which bad clients arrive.
	minBadClientSpread = time.Second
	badClientDialTime  = time.Second
	// maxReportedBytes is how many bytes of what a client sent, and got last, are reported at most.
	maxReportedBytes = 64
)

// badClients runs clients that send invalid input or nothing, and counts what the proxies do.
type badClients struct {
	sent, answered, closed, failed atomic.Int64

	mu         sync.Mutex
	unanswered []UnansweredClient
}

// UnansweredClient is a bad client that a proxy neither answered nor closed within badClientTimeout.
type UnansweredClient struct {
	Address     string    `json:"address"` // of the client's end
	Proxy       string    `json:"proxy"`   // name
	ConnectedAt time.Time `json:"connected_at"`
	Input       string    `json:"input"`    // its first maxReportedBytes
	Received    string    `json:"received"` // the last bytes that it got, maxReportedBytes at most
}

// String describes the client as verdicts do.
func (c UnansweredClient) String() string {
	return fmt.Sprintf("%s at %s, connected %s, sent %q, got %q", c.Address, c.Proxy, c.ConnectedAt.UTC().Format(time.RFC3339Nano), c.Input, c.Received)
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
		proxy := r.processes[i%len(r.processes)]
		var input []byte
		if f.Kind == faultBadClients {
			input = invalidInput(rng, r.scenario.Listeners[0].Name)
		}
		r.faultsRunning.Go(func() { b.runOne(ctx, proxy, input) })
	}
}

// runOne runs one bad client: it sends its input and reads until it gets an error or its connection is closed.
func (b *badClients) runOne(ctx context.Context, proxy *process, input []byte) {
	conn, err := net.DialTimeout("tcp", proxy.address, badClientDialTime)
	if err != nil {
		b.failed.Add(1)
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	defer stop()
	b.sent.Add(1)
	connectedAt := time.Now()
	conn.SetDeadline(connectedAt.Add(badClientTimeout))
	conn.Write(input) // the proxy may have closed the connection already
	received, last := make([]byte, maxReportedBytes), ""
	for {
		n, err := conn.Read(received)
		switch {
		case bytes.Contains(received[:n], []byte("ERR")) || bytes.Contains(received[:n], []byte("BUSY")):
			b.answered.Add(1)
			return
		case err == nil:
			last = string(received[:n])
			continue
		case !isTimeout(err):
			b.closed.Add(1)
		case ctx.Err() == nil:
			b.addUnanswered(UnansweredClient{Address: conn.LocalAddr().String(), Proxy: proxyName(proxy.id), ConnectedAt: connectedAt,
				Input: string(input[:min(len(input), maxReportedBytes)]), Received: last})
		}
		return
	}
}

func (b *badClients) addUnanswered(c UnansweredClient) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unanswered = append(b.unanswered, c)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
