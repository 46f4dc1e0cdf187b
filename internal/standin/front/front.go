// Package front simulates the layer that distributes connections among proxies, for rehearsals. It probes each proxy,
// takes it in once that has answered PING with PONG, and notices only after a delay that one has died. It carries no
// traffic: clients ask it for an address and connect by themselves.
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

// proxyState is what the front believes of a proxy.
type proxyState int

const (
	unavailable proxyState = iota // has not answered since it was started
	available                     // gets connections
	suspected                     // does not answer; still gets connections until the detection delay has passed
)

// proxy is one backend of the front.
type proxy struct {
	address, zone string
	state         proxyState
	suspectedAt   time.Duration
	leaving       bool // gets no new connections
}

const (
	// probeInterval is the pause between two probes of a proxy.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds the connect and the answer of a probe.
	probeTimeout = time.Second
)

// Front names proxies to clients.
type Front struct {
	now            func() time.Duration
	detectionDelay time.Duration
	mu             sync.Mutex
	rand           *rand.Rand
	proxies        []proxy
}

// New makes a front that notices a death after a delay.
func New(seed int64, now func() time.Duration, detectionDelay time.Duration) *Front {
	return &Front{now: now, detectionDelay: detectionDelay, rand: rand.New(rand.NewSource(seed))}
}

// Add adds a proxy; it must be called before Run, which probes it.
func (f *Front) Add(address, zone string) judge.ProxyID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies = append(f.proxies, proxy{address: address, zone: zone})
	return judge.ProxyID(len(f.proxies) - 1)
}

// Run probes all proxies until the context ends.
func (f *Front) Run(ctx context.Context) {
	var all sync.WaitGroup
	for i := range f.proxies {
		all.Go(func() {
			for ctx.Err() == nil {
				f.recordProbe(i, probe(f.proxies[i].address))
				select {
				case <-time.After(probeInterval):
				case <-ctx.Done():
				}
			}
		})
	}
	all.Wait()
}

// probe asks one proxy whether it serves.
func probe(address string) bool {
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(probeTimeout))
	fmt.Fprint(conn, "PING\r\n")
	answer, _ := bufio.NewReader(conn).ReadString('\n') // a failure is no PONG
	return answer == "PONG\r\n"
}

// recordProbe is the one place where a probe changes a proxy's state.
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

// SetLeaving stops or resumes new connections to a proxy that is about to leave.
func (f *Front) SetLeaving(id judge.ProxyID, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies[id].leaving = leaving
	if !leaving { // it has to answer anew
		f.proxies[id].state = unavailable
	}
}

// DetectionDelay is how long the front takes to notice a death.
func (f *Front) DetectionDelay() time.Duration { return f.detectionDelay }

// Len is how many proxies there are.
func (f *Front) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.proxies)
}

// ReadyCount is how many proxies get connections.
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

// Pick names a proxy for a client, one of its zone if there is one.
func (f *Front) Pick(zone string) (id judge.ProxyID, address string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var near, far []int
	for i, p := range f.proxies {
		if p.state != unavailable && !p.leaving {
			far = append(far, i)
			if p.zone == zone {
				near = append(near, i)
			}
		}
	}
	if len(near) > 0 {
		far = near
	}
	if len(far) == 0 {
		return 0, "", false
	}
	i := far[f.rand.Intn(len(far))]
	return judge.ProxyID(i), f.proxies[i].address, true
}
