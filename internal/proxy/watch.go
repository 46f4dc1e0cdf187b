package proxy

import (
	"errors"
	"fmt"

	"chalkferry/choice"
	"chalkferry/internal/discovery"
)

// applyList gives a list from the watch to the balancer. A list that is older than the current one ends the watch instead.
func (p *Proxy) applyList(list discovery.List) {
	if list.Revision < p.revision {
		p.watcher.Stop()
		p.handleWatchFailure(fmt.Errorf("%w: revision %d after %d", discovery.ErrWatchEnded, list.Revision, p.revision))
		return
	}
	p.revision = list.Revision
	p.failedWatches, p.watchErr = 0, nil
	kind := choice.ListDelta
	if list.Complete {
		kind = choice.ListFull
	}
	p.balancer.ApplyList(p.now(), kind, p.directory.entriesOf(list))
	p.directory.eachGone(p.table.ForgetServer)
	ready, draining := p.directory.countByStatus()
	p.log.Info().Uint64("revision", list.Revision).Bool("complete", list.Complete).Int("entries", len(list.Servers)).
		Int("ready", ready).Int("draining", draining).Msg("list")
}

// handleWatchFailure keeps the current list and has the balancer subscribe again. A watch that went silent is replaced at
// once, and so is its replacement if that one is not opened either: a change that they miss counts as known after
// discovery.StalenessLimit, without regard to any pause between calls.
func (p *Proxy) handleWatchFailure(err error) {
	p.failedWatches++
	p.watchErr = err
	p.renewAfterFailure(err)
	p.log.Warn().Err(err).Int("failures", p.failedWatches).Msg("the watch of the list failed")
	switch {
	case errors.Is(err, discovery.ErrHeartbeatTimeout):
		p.watcher.ReplaceSilent(p.revision)
	case errors.Is(err, discovery.ErrReplacementTimeout):
		p.watcher.Watch(p.revision)
	case errors.Is(err, discovery.ErrStartTimeout): // it has already waited long enough
		p.balancer.ResubscribeList(p.now())
	default:
		p.balancer.ApplyList(p.now(), choice.ListFailed, nil)
	}
}
