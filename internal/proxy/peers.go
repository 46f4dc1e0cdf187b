package proxy

import (
	"fmt"

	"chalkferry/internal/benchwire"
	"chalkferry/internal/peers"
	"chalkferry/internal/start"
)

// listenPeers opens the socket for overload reports of other proxies. It returns nil if the settings allow none or the
// configuration has no address for it.
func (p *Proxy) listenPeers(addresses start.Addresses, settings *runtimeSettings) (*peers.Conn, error) {
	if !settings.peerReports.Enabled || addresses.PeerListen == "" {
		return nil, nil
	}
	endpoint, err := peers.Listen(addresses.PeerListen, addresses.PeersAll, addresses.Peers, p.receivePeerMessage)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return endpoint, nil
}

// receivePeerMessage passes an overload report of another proxy to the balancer. It is called outside the event loop.
func (p *Proxy) receivePeerMessage(message []byte) {
	<-p.ready
	server, delay, err := benchwire.ParseDelayReport(message)
	if err != nil {
		p.log.Warn().Err(err).Msg("a word from another proxy is ignored")
		return
	}
	p.execute(func() { p.balancer.ReceiveOverload(p.now(), server, delay) })
}
