package proxy

import (
	"fmt"

	"chalkferry/internal/benchwire"
	"chalkferry/internal/peers"
	"chalkferry/internal/start"
)

// listenPeers opens the socket for messages of other proxies, where the settings allow any.
func (p *Proxy) listenPeers(at start.Addresses, t *terms) (*peers.Conn, error) {
	if !t.words.Enabled || at.PeerListen == "" {
		return nil, nil
	}
	end, err := peers.Listen(at.PeerListen, at.PeersAll, at.Peers, p.receivePeer)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return end, nil
}

// receivePeer takes a message of another proxy, off the loop.
func (p *Proxy) receivePeer(message []byte) {
	<-p.ready
	at, delay, err := benchwire.Word(message)
	if err != nil {
		p.log.Warn().Err(err).Msg("a word from another proxy is ignored")
		return
	}
	p.execute(func() { p.balancer.ReceiveOverload(p.now(), at, delay) })
}
