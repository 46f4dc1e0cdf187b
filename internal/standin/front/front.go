// Package front simulates the load balancer in front of the proxies, for rehearsals. It probes each proxy, assigns clients
// to it once it has answered PING with PONG, and detects only after a delay that a proxy has died. It carries no traffic:
// clients ask it for an address and connect to that themselves.
package front

import (
	"bufio"
	"context"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"

	"chalkferry/internal/standin/judge"
)

// proxyState is the state of a proxy as the front's probes show it.
type proxyState int

const (
	unavailable proxyState = iota // gets no connections: not answered yet, or found dead
	available                     // gets connections
	suspected                     // does not answer; still gets connections until the detection delay has passed
)

// proxy is one backend of the front.
type proxy struct {
	address, zone string
	state         proxyState
	suspectedAt   time.Duration // since the start of the run
	leaving       bool          // gets no new connections
}

const (
	// probeInterval is the pause between two probes of a proxy.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds the connect and the answer of a probe.
	probeTimeout = time.Second
)

// Front assigns clients to proxies.
type Front struct {
	now            func() time.Duration // since the start of the run
	detectionDelay time.Duration        // from the first failed probe until a proxy gets no more connections
	mu             sync.Mutex           // guards all below
	rand           *rand.Rand
	proxies        []proxy
}

// New returns a front that detects a dead proxy after detectionDelay. The seed is that of its choice of proxies.
func New(seed int64, now func() time.Duration, detectionDelay time.Duration) *Front {
	return &Front{now: now, detectionDelay: detectionDelay, rand: rand.New(rand.NewSource(seed))}
}

// Add adds a proxy. It must be called before Run, which starts the probes.
func (f *Front) Add(address, zone string) judge.ProxyID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies = append(f.proxies, proxy{address: address, zone: zone})
	return judge.ProxyID(len(f.proxies) - 1)
}

// Run probes all proxies until the context ends.
func (f *Front) Run(ctx context.Context) {
	var probers sync.WaitGroup
	for i := range f.proxies {
		probers.Go(func() {
			for ctx.Err() == nil {
				f.recordProbe(i, probe(f.proxies[i].address))
				select {
				case <-time.After(probeInterval):
				case <-ctx.Done():
				}
			}
		})
	}
	probers.Wait()
}

// probe reports whether a proxy answers PING with PONG in time.
func probe(address string) bool {
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(probeTimeout))
	fmt.Fprint(conn, "PING\r\n")
	answer, _ := bufio.NewReader(conn).ReadString('\n') // after an error it differs from PONG
	return answer == "PONG\r\n"
}

// recordProbe updates a proxy's state after a probe. No probe changes it elsewhere.
func (f *Front) recordProbe(i int, answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &f.proxies[i]
	switch {
	case answered:
		p.state = available
	case p.state == available:
		p.state, p.suspectedAt = suspected, f.now()
	case p.state == suspected && f.now()-p.suspectedAt >= f.detectionDelay:
		p.state = unavailable
	}
}

// SetLeaving stops new connections to a proxy that is about to leave, or allows them again once it answers a probe.
func (f *Front) SetLeaving(id judge.ProxyID, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies[id].leaving = leaving
	if !leaving { // it must answer a probe first
		f.proxies[id].state = unavailable
	}
}

// DetectionDelay returns how long the front takes to detect a dead proxy.
func (f *Front) DetectionDelay() time.Duration { return f.detectionDelay }

// Len returns the number of proxies.
func (f *Front) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.proxies)
}

// ReadyCount returns the number of proxies that get connections.
func (f *Front) ReadyCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, p := range f.proxies {
		if p.state != unavailable && !p.leaving {
			n++
		}
	}
	return n
}

// Pick chooses a random proxy for a client, one of its zone if there is any. ok is false if no proxy gets connections.
func (f *Front) Pick(zone string) (id judge.ProxyID, address string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sameZone, candidates []int
	for i, p := range f.proxies {
		if p.state != unavailable && !p.leaving {
			candidates = append(candidates, i)
			if p.zone == zone {
				sameZone = append(sameZone, i)
			}
		}
	}
	if len(sameZone) > 0 {
		candidates = sameZone
	}
	if len(candidates) == 0 {
		return 0, "", false
	}
	i := candidates[f.rand.Intn(len(candidates))]
	return judge.ProxyID(i), f.proxies[i].address, true
}
