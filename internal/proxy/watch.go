package proxy

import (
	"errors"
	"fmt"

	"chalkferry/choice"
	"chalkferry/internal/discovery"
)

func (p *Proxy) listed(list discovery.List) {
	if list.Revision < p.revision {
		p.watcher.Stop()
		p.watchFailed(fmt.Errorf("revision %d after %d", list.Revision, p.revision))
		return
	}
	p.revision = list.Revision
	p.failed = 0
	defer p.clients.AnswerPings()
	kind := choice.ListDelta
	if list.Complete {
		kind = choice.ListFull
	}
	p.balancer.ApplyList(p.now(), kind, p.directory.entriesOf(list))
	p.directory.eachGone(p.table.Forget)
	ready, draining := p.directory.count()
	p.log.Info().Uint64("revision", list.Revision).Bool("complete", list.Complete).Int("entries", len(list.Servers)).
		Int("ready", ready).Int("draining", draining).Msg("list")
}

// watchFailed leaves the last list standing; the module asks again. In place of a watch that has fallen silent another
// begins at once, and one more if that says nothing either: what they miss is told to be known soon, by a clock of its
// own that no pause between calls heeds.
func (p *Proxy) watchFailed(err error) {
	p.failed++
	p.log.Warn().Err(err).Int("failures", p.failed).Msg("the watch of the list failed")
	switch {
	case errors.Is(err, discovery.ErrHeartbeatTimeout):
		p.watcher.ReplaceSilent(p.revision)
	case errors.Is(err, discovery.ErrReplacementTimeout):
		p.watcher.Watch(p.revision)
	case errors.Is(err, discovery.ErrStartTimeout): // it has waited long enough
		p.balancer.ResubscribeList(p.now())
	default:
		p.balancer.ApplyList(p.now(), choice.ListFailed, nil)
	}
	p.clients.AnswerPings() // nothing more is known to wait for
}
