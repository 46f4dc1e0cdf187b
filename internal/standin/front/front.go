// Package front is a stand-in for the layer that deals connections out among proxies. It takes a proxy in once that
// has answered PING with PONG, and notices late that one has died.
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

type standing int

const (
	out      standing = iota // has not answered since it was started
	in                       // gets connections
	doubtful                 // does not answer; not noticed yet
)

type proxy struct {
	address, zone string
	standing      standing
	since         time.Duration // of the doubt
	leaving       bool          // no longer dealt to, after its notice
}

// every is how often a proxy is asked.
const every = 200 * time.Millisecond

// Front deals connections out.
type Front struct {
	now     func() time.Duration
	notice  time.Duration
	mu      sync.Mutex
	rand    *rand.Rand
	proxies []proxy
}

// New makes a front that notices a death after a time.
func New(seed int64, now func() time.Duration, notice time.Duration) *Front {
	return &Front{now: now, notice: notice, rand: rand.New(rand.NewSource(seed))}
}

// Add names a proxy; Run begins to ask it.
func (f *Front) Add(address, zone string) judge.ProxyID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies = append(f.proxies, proxy{address: address, zone: zone})
	return judge.ProxyID(len(f.proxies) - 1)
}

// Run asks all proxies until the context ends.
func (f *Front) Run(ctx context.Context) {
	var all sync.WaitGroup
	for i := range f.proxies {
		all.Go(func() {
			for ctx.Err() == nil {
				f.took(i, ping(f.proxies[i].address))
				select {
				case <-time.After(every):
				case <-ctx.Done():
				}
			}
		})
	}
	all.Wait()
}

// ping asks one proxy.
func ping(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, "PING\r\n")
	answer, _ := bufio.NewReader(conn).ReadString('\n') // a failure is no PONG
	return answer == "PONG\r\n"
}

// took is the one place where a proxy changes its standing.
func (f *Front) took(i int, well bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &f.proxies[i]
	switch {
	case well:
		p.standing = in
	case p.standing == in:
		p.standing, p.since = doubtful, f.now()
	case p.standing == doubtful && f.now()-p.since >= f.notice:
		p.standing = out
	}
}

// Stop has no new connection dealt to a proxy that is about to leave, or again.
func (f *Front) SetLeaving(id judge.ProxyID, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies[id].leaving = leaving
	if !leaving { // it has to answer anew
		f.proxies[id].standing = out
	}
}

// Notice is how long the front takes to notice a death.
func (f *Front) DetectionDelay() time.Duration { return f.notice }

// Len is how many proxies there are.
func (f *Front) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.proxies)
}

// Ready is how many proxies get connections.
func (f *Front) ReadyCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, p := range f.proxies {
		if p.standing != out && !p.leaving {
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
		if p.standing != out && !p.leaving {
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
