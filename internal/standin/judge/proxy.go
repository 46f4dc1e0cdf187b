package judge

import "time"

// proxy is what the judge knows of one proxy.
type proxy struct {
	dead, leaving bool
	watching      bool
	polled        time.Duration // when it last asked discovery, or its watch began or ended
}

// nodeState is a node's availability, and which proxies know of it.
type nodeState struct {
	unavailable bool // draining or gone
	changed     time.Duration
	published   map[ProxyID]time.Duration
}

// NodeChanged reports that a node has begun to drain or is gone (unavailable), or is ready again.
func (j *Judge) NodeChanged(now time.Duration, node NodeID, unavailable bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if n := j.nodes[node]; n == nil || n.unavailable != unavailable {
		j.nodes[node] = &nodeState{unavailable: unavailable, changed: now, published: map[ProxyID]time.Duration{}}
	}
}

// NodePublished reports that discovery has written the node's state to a proxy.
func (j *Judge) NodePublished(now time.Duration, proxy ProxyID, node NodeID, unavailable bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := j.nodes[node]
	if n == nil || n.unavailable != unavailable {
		return
	}
	if _, known := n.published[proxy]; !known {
		n.published[proxy] = now
	}
}

// SetWatching reports that a proxy has asked discovery, or that its watch has begun or ended.
func (j *Judge) SetWatching(now time.Duration, id ProxyID, watching bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := j.proxyOf(id)
	p.watching, p.polled = watching, now
}

// drainKnownAt is when a proxy learnt that a node takes no new sessions, or should have. It needs the lock.
func (j *Judge) drainKnownAt(now time.Duration, proxy ProxyID, node NodeID) (at time.Duration, known bool) {
	n := j.nodes[node]
	if n == nil || !n.unavailable {
		return 0, false
	}
	if at, known := n.published[proxy]; known {
		return at, true
	}
	p := j.proxyOf(proxy)
	if p.watching || j.pollInterval <= 0 {
		return 0, false
	}
	if due := max(n.changed, p.polled) + j.pollInterval; due < now {
		return due, true
	}
	return 0, false
}

// ProxyDied reports that a proxy is about to be killed or was found dead: its sessions are for the clients to retry.
func (j *Judge) ProxyDied(id ProxyID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.proxyOf(id).dead = true
}

// ProxyLeaving reports that a proxy is about to get SIGTERM.
func (j *Judge) ProxyLeaving(id ProxyID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.proxyOf(id).leaving = true
}

// ProxyStarted reports that a proxy is started again. It knows nothing of what was published to its predecessor, and
// does not answer for its predecessor's sessions.
func (j *Judge) ProxyStarted(now time.Duration, id ProxyID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.sessions {
		if s.proxy == id {
			s.proxy = noProxy
		}
	}
	j.proxies[noProxy] = &proxy{dead: true}
	j.proxies[id] = &proxy{polled: now}
	for _, n := range j.nodes {
		delete(n.published, id)
	}
}

// proxyOf needs the lock.
func (j *Judge) proxyOf(id ProxyID) *proxy {
	p := j.proxies[id]
	if p == nil {
		p = &proxy{}
		j.proxies[id] = p
	}
	return p
}
