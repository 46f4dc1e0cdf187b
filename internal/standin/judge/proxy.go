package judge

import "time"

// proxy is the state of one proxy.
type proxy struct {
	dead, leaving bool          // it was killed or crashed; it was sent SIGTERM
	watching      bool          // it holds a watch on discovery
	lastPollAt    time.Duration // when it last polled discovery, or its watch began or ended
}

// nodeState is a node's availability, and when each proxy was sent it.
type nodeState struct {
	unavailable bool // draining or gone
	changedAt   time.Duration
	publishedAt map[ProxyID]time.Duration
}

// NodeChanged reports that a node has become unavailable, as it drains or is gone, or that it is ready again.
func (j *Judge) NodeChanged(now time.Duration, node NodeID, unavailable bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if n := j.nodes[node]; n == nil || n.unavailable != unavailable {
		j.nodes[node] = &nodeState{unavailable: unavailable, changedAt: now, publishedAt: map[ProxyID]time.Duration{}}
	}
}

// NodePublished reports that discovery has sent the node's state to a proxy. Only the first report for a state counts.
func (j *Judge) NodePublished(now time.Duration, proxy ProxyID, node NodeID, unavailable bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := j.nodes[node]
	if n == nil || n.unavailable != unavailable {
		return
	}
	if _, known := n.publishedAt[proxy]; !known {
		n.publishedAt[proxy] = now
	}
}

// SetWatching reports that a proxy has polled discovery, or that its watch has begun or ended.
func (j *Judge) SetWatching(now time.Duration, id ProxyID, watching bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := j.proxyState(id)
	p.watching, p.lastPollAt = watching, now
}

// drainLearnedAt returns when a proxy learnt, or should have learnt, that a node takes no new sessions. The caller must
// hold j.mu.
func (j *Judge) drainLearnedAt(now time.Duration, proxy ProxyID, node NodeID) (learnedAt time.Duration, known bool) {
	n := j.nodes[node]
	if n == nil || !n.unavailable {
		return 0, false
	}
	if at, known := n.publishedAt[proxy]; known {
		return at, true
	}
	p := j.proxyState(proxy)
	if p.watching || j.maxPollInterval <= 0 {
		return 0, false
	}
	if due := max(n.changedAt, p.lastPollAt) + j.maxPollInterval; due < now {
		return due, true
	}
	return 0, false
}

// ProxyDied reports that a proxy is about to be killed or was found dead. Its sessions no longer count as lost: clients
// retry them.
func (j *Judge) ProxyDied(id ProxyID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.proxyState(id).dead = true
}

// ProxyLeaving reports that a proxy is about to get SIGTERM.
func (j *Judge) ProxyLeaving(id ProxyID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.proxyState(id).leaving = true
}

// ProxyStarted reports that a proxy is started again. What was published to the previous process is forgotten, and the
// sessions of that process are attributed to noProxy, which counts as dead.
func (j *Judge) ProxyStarted(now time.Duration, id ProxyID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.sessions {
		if s.proxy == id {
			s.proxy = noProxy
		}
	}
	j.proxies[noProxy] = &proxy{dead: true}
	j.proxies[id] = &proxy{lastPollAt: now}
	for _, n := range j.nodes {
		delete(n.publishedAt, id)
	}
}

// proxyState returns the state of a proxy and creates it on first use. The caller must hold j.mu.
func (j *Judge) proxyState(id ProxyID) *proxy {
	p := j.proxies[id]
	if p == nil {
		p = &proxy{}
		j.proxies[id] = p
	}
	return p
}
