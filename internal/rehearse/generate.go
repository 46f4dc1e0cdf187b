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

// maxProbeWait is the time within which all proxies must answer a first probe.
const maxProbeWait = 5 * time.Second

// GenerateLoad sends a scenario's sessions to proxies that run already, without a simulated platform behind them. Only
// what clients see is checked.
func GenerateLoad(ctx context.Context, s *Scenario, addresses []string, progress io.Writer) (*Report, error) {
	sessions, err := s.Schedule()
	if err != nil {
		return nil, err
	}
	r := &rehearsal{scenario: s}
	r.setStart(2 * maxStartTime)
	r.judge = judge.New(leeway, 0, 0, s.Proxies.PassThrough, nil)
	r.judge.ObserveClientsOnly()
	r.front = front.New(s.Seed, r.now, s.Proxies.DetectionDelay.D())
	for _, address := range addresses {
		r.front.Add(address, "")
	}
	r.clients = client.New(s.Seed, r.now, r.judge, r.front, s.clientBehavior(), s.Window.D(), s.LateBound.D())
	r.clients.ProxyGone = func(judge.ProxyID) bool { return false }
	probeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var probing sync.WaitGroup
	probing.Go(func() { r.front.Run(probeCtx) })
	if err := r.waitAnswering(ctx, len(addresses)); err != nil {
		return nil, err
	}
	r.setStart(2 * tickInterval)
	r.runSessions(ctx, sessions, progress)
	cancel()
	probing.Wait()
	return r.report(len(sessions), ctx.Err() != nil), nil
}

// waitAnswering waits until all addresses have answered a probe.
func (r *rehearsal) waitAnswering(ctx context.Context, addresses int) error {
	for limit := time.Now().Add(maxProbeWait); r.front.ReadyCount() < addresses; {
		if time.Now().After(limit) {
			return fmt.Errorf("%d of %d addresses answer PING with PONG", r.front.ReadyCount(), addresses)
		}
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
