package rehearse

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"chalkferry/internal/standin/client"
	"chalkferry/internal/standin/front"
	"chalkferry/internal/standin/judge"
)

// Alone sends a scenario's sessions at addresses, with no stand-in behind them: only what clients see is judged.
func GenerateLoad(ctx context.Context, s *Scenario, addresses []string, progress io.Writer) (*Report, error) {
	sessions, err := s.Schedule()
	if err != nil {
		return nil, err
	}
	n := &rehearsal{scenario: s}
	n.start.Store(time.Now().Add(2 * maxStartTime).UnixNano())
	n.judge = judge.New(leeway, 0, 0, s.Proxies.Passes, nil)
	n.judge.ObserveClientsOnly()
	n.front = front.New(s.Seed, n.now, s.Proxies.Notice.D())
	for _, address := range addresses {
		n.front.Add(address, "")
	}
	n.clients = client.New(s.Seed, n.now, n.judge, n.front, s.clientBehavior(), s.Window.D(), s.LateBound.D())
	n.clients.ProxyGone = func(judge.ProxyID) bool { return false }
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	var asking sync.WaitGroup
	asking.Go(func() { n.front.Run(stop) })
	for limit := time.Now().Add(maxStartTime / 4); n.front.ReadyCount() < len(addresses); {
		if time.Now().After(limit) {
			return nil, fmt.Errorf("%d of %d addresses answer PING with PONG", n.front.ReadyCount(), len(addresses))
		}
		select {
		case <-time.After(tick):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	n.start.Store(time.Now().Add(2 * tick).UnixNano())
	n.play(ctx, sessions, progress)
	cancel()
	asking.Wait()
	return n.report(len(sessions), ctx.Err() != nil), nil
}

// manners are what the scenario's clients do alike.
func (s *Scenario) clientBehavior() client.Behavior {
	return client.Behavior{Retries: s.Clients.Retries, Backoff: s.Clients.Backoff.D(), RejoinMin: s.Clients.Rejoin[0].D(),
		RejoinMax: s.Clients.Rejoin[1].D(), MessageEvery: s.Clients.MessageEvery.D(), PassThrough: s.Proxies.Passes}
}

// Rate replaces all arrivals by one stream of so many a second, at random.
func (s *Scenario) SetRate(rate float64) {
	s.Arrivals = []Arrivals{{Shape: "poisson", To: s.Length, Rate: rate, ToRate: rate}}
	s.Expect = Expect{}
}

// Replay replaces all arrivals by a trace.
func (s *Scenario) Replay(file string, speed, scale float64) error {
	if speed < 1 || speed > 100 || scale <= 0 {
		return fmt.Errorf("a trace is replayed at 1 to 100 times its speed and at a scale above 0, not %g and %g", speed, scale)
	}
	s.Trace, s.Expect = Trace{File: file, Speed: speed, Scale: scale}, Expect{}
	_, err := s.Schedule()
	return err
}
