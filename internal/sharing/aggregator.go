package sharing

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chalkferry/internal/aggregation"
)

const (
	// aggregatorQueueLength is how many received messages can wait at an aggregator. A region of 2,500 members sends
	// about 6,300 reports per second.
	aggregatorQueueLength = 8192
	// aggregatorSocketBufferBytes is requested from the kernel for each direction of the socket, which grants no more than
	// net.core.rmem_max and net.core.wmem_max.
	aggregatorSocketBufferBytes = 4 << 20
	// slotInterval is the time between two batches of datagrams to members. Each member belongs to one of the slots of a
	// digest or heartbeat interval, so that datagrams to thousands of members are not sent at once.
	slotInterval = 10 * time.Millisecond
)

// Aggregator is a process that sums what the members of its region report, exchanges the sum with all other
// aggregators, and sends the sums over the fleet to its members. Its methods may be called from any goroutine.
type Aggregator struct {
	config   AggregatorConfig
	log      zerolog.Logger
	state    *aggregation.Aggregator
	endpoint *endpoint
	status   *statusServer
	names    aggregatorNames
	members  *addressBook

	incarnation aggregation.Incarnation

	digests      *broadcast
	heartbeats   *broadcast
	digest       aggregation.Digest // the latest
	digestMadeAt time.Duration      // when it was made

	statusRequests chan chan AggregatorProcessStatus
	context        context.Context
	stop           context.CancelFunc
	done           sync.WaitGroup
}

// StartAggregator opens the socket, and the status server if the configuration has an address for it, and begins to
// receive and send. It returns an error if the configuration is invalid, if one of the two addresses can't be used, or
// if the size of the socket's buffers can't be set.
func StartAggregator(config AggregatorConfig, log zerolog.Logger) (*Aggregator, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	incarnation := newIncarnation()
	state, err := newAggregatorState(config, incarnation)
	if err != nil {
		return nil, err
	}
	end, err := listen(config.Listen, aggregatorQueueLength, newDropLog(log, config.Freshness+config.Decay))
	if err != nil {
		return nil, err
	}
	if err := end.setBuffers(aggregatorSocketBufferBytes); err != nil {
		end.conn.Close()
		return nil, fmt.Errorf("set socket buffer size: %w", err)
	}
	a := &Aggregator{config: config, log: log, state: state, endpoint: end, names: aggregatorNames{},
		members: newAddressBook(), incarnation: incarnation, statusRequests: make(chan chan AggregatorProcessStatus)}
	a.digests = newBroadcast(config.DigestInterval)
	a.heartbeats = newBroadcast(config.HeartbeatInterval)
	a.context, a.stop = context.WithCancel(context.Background())
	a.names[aggregatorID(config.Name)] = aggregatorName{name: config.Name, address: end.address().String()}
	for _, peer := range config.Peers {
		a.names[aggregatorID(peer.Name)] = aggregatorName{name: peer.Name, address: peer.Address.String()}
	}
	if a.status, err = serveStatus(config.Status, a.Status); err != nil {
		end.conn.Close()
		return nil, err
	}
	a.done.Go(end.read)
	a.done.Go(a.run)
	log.Info().Str("name", config.Name).Str("region", config.Region).Int("peers", len(config.Peers)).
		Stringer("listen", end.address()).Str("status", a.status.address()).Msg("aggregating")
	return a, nil
}

func newAggregatorState(config AggregatorConfig, incarnation aggregation.Incarnation) (*aggregation.Aggregator, error) {
	logic := aggregation.AggregatorConfig{ID: aggregatorID(config.Name), Region: config.Region,
		Incarnation: incarnation, MaxMembers: config.MaxMembers, MaxKeys: config.MaxKeys,
		MaxMemberKeys: config.MaxMemberKeys, ChangeShare: config.ChangeShare, Freshness: config.Freshness,
		Decay: config.Decay}
	for _, peer := range config.Peers {
		logic.Peers = append(logic.Peers, aggregation.Peer{ID: aggregatorID(peer.Name), Region: peer.Region})
	}
	return aggregation.NewAggregator(bootTime(), logic)
}

// Close stops the aggregator and waits until its goroutines have ended.
func (a *Aggregator) Close() {
	a.stop()
	a.endpoint.conn.Close()
	a.status.close()
	a.done.Wait()
}

// StatusAddress returns the address that the status is served at, or "" if it is not served.
func (a *Aggregator) StatusAddress() string { return a.status.address() }

// Status returns the current status; false if the aggregator was closed.
func (a *Aggregator) Status() (AggregatorProcessStatus, bool) {
	status, ok := requestStatus(a.context, a.statusRequests)
	if ok { // read here and not by the goroutine that owns the state, as /proc/net/udp takes a while to read
		status.Datagrams.SocketDropped, status.SocketBuffer = a.endpoint.socketState()
	}
	return status, ok
}

// run is the goroutine that owns the state. It returns when the aggregator is closed.
func (a *Aggregator) run() {
	exchange := newPacer(a.config.ExchangeInterval)
	defer exchange.stop()
	slot := newPacer(slotInterval)
	defer slot.stop()
	for {
		select {
		case <-a.context.Done():
			return
		case d := <-a.endpoint.received:
			a.receive(d)
		case <-exchange.C:
			exchange.ticked()
			a.sendRegionSum()
		case <-slot.C:
			slot.ticked()
			a.sendSlots(bootTime())
		case reply := <-a.statusRequests:
			reply <- a.currentStatus()
		}
	}
}

func (a *Aggregator) receive(d datagram) {
	now := bootTime()
	outcome := aggregation.UnknownSender // for messages that only members receive
	switch content := d.content.(type) {
	case aggregation.Report:
		var refusal *aggregation.Refusal
		outcome, refusal = a.state.ReceiveReport(now, content)
		if outcome == aggregation.Accepted {
			a.members.learn(content.Member, d.from)
		}
		if refusal != nil {
			a.refuse(*refusal, d.from)
		}
	case aggregation.RegionSum:
		outcome = a.state.ReceiveRegionSum(now, content)
	}
	a.endpoint.countOutcome(d.from, outcome)
}

func (a *Aggregator) refuse(refusal aggregation.Refusal, to netip.AddrPort) {
	if encoded := a.encode(refusal); encoded != nil {
		a.endpoint.send(encoded, to)
	}
}

// encode returns the datagram of a message, or nil if the message can't be encoded, which it logs.
func (a *Aggregator) encode(content message) []byte {
	encoded, err := encode(content)
	if err != nil {
		a.log.Error().Err(err).Msg("a message can't be sent")
	}
	return encoded
}

// sendRegionSum sends the same region sum to all other aggregators.
func (a *Aggregator) sendRegionSum() {
	encoded := a.encode(a.state.RegionSum(bootTime()))
	if encoded == nil {
		return
	}
	for _, peer := range a.config.Peers {
		a.endpoint.send(encoded, peer.Address)
	}
}

// sendSlots sends a message to the members whose slot has come: a digest to subscribers and a heartbeat to others. The
// digest is made once per interval, and only its ages are updated when it is sent later: a newer head would claim reports
// that are not in the entries.
func (a *Aggregator) sendSlots(now time.Duration) {
	if a.digests.advance(now) {
		a.digest, a.digestMadeAt = a.state.Digest(now), now
	}
	if a.heartbeats.advance(now) {
		a.members.forget(func(id aggregation.MemberID) bool { return !a.state.KnownMember(now, id) })
	}
	isSubscribed := func(id aggregation.MemberID) bool { return a.state.Subscribed(now, id) }
	a.sendDue(a.digests, isSubscribed, func() aggregation.Digest { return withAge(a.digest, now-a.digestMadeAt) })
	isNotSubscribed := func(id aggregation.MemberID) bool { return !isSubscribed(id) }
	a.sendDue(a.heartbeats, isNotSubscribed, func() aggregation.Digest { return a.state.Heartbeat(now) })
}

// withAge returns a copy of a digest with age added to the ages in it.
func withAge(digest aggregation.Digest, age time.Duration) aggregation.Digest {
	digest.Regions = slices.Clone(digest.Regions)
	for i := range digest.Regions {
		digest.Regions[i].Age += age
	}
	return digest
}

// sendDue sends a message to the members for which isRecipient returns true and whose slot has come. The message is
// created only if there are any.
func (a *Aggregator) sendDue(b *broadcast, isRecipient func(aggregation.MemberID) bool, create func() aggregation.Digest) {
	var encoded []byte
	for _, member := range a.members.entries {
		if !b.isDue(member.id) || !isRecipient(member.id) {
			continue
		}
		if encoded == nil {
			if encoded = a.encode(create()); encoded == nil {
				return
			}
		}
		a.endpoint.send(encoded, member.address)
	}
}

func (a *Aggregator) currentStatus() AggregatorProcessStatus {
	now := bootTime()
	s := AggregatorProcessStatus{
		StatusHead: StatusHead{Role: RoleAggregator, Name: a.config.Name, Region: a.config.Region,
			Listen: a.endpoint.address().String(), Incarnation: a.incarnation},
		Members:   a.membersStatus(now),
		Peers:     []AggregatorStatus{},
		Regions:   []RegionStatus{},
		Sums:      []SumStatus{},
		Limits:    LimitsStatus{Members: a.config.MaxMembers, MemberKeys: a.config.MaxMemberKeys, Keys: a.config.MaxKeys},
		Datagrams: a.endpoint.counters.snapshot(),
		Dropped:   droppedStatus(a.state.Counters()),
	}
	for _, peer := range a.state.Peers(now) {
		s.Peers = append(s.Peers, a.names.status(peer))
	}
	for _, r := range a.state.Regions(now) {
		s.Regions = append(s.Regions, a.names.regionStatus(r))
	}
	for _, k := range a.state.Keys() {
		s.Sums = append(s.Sums, sumStatus(k, k.String(), a.state.Figure(now, k)))
	}
	return s
}

func (a *Aggregator) membersStatus(now time.Duration) MembersStatus {
	s := MembersStatus{Each: []KnownMemberStatus{}}
	for _, m := range a.state.Members(now) {
		s.Known++
		if m.Weight == 1 {
			s.Fresh++
		}
		s.Each = append(s.Each, KnownMemberStatus{ID: formatMemberID(m.ID), Zone: m.Zone, Address: a.members.address(m.ID),
			Incarnation: m.Incarnation, AgeMS: m.Age.Milliseconds(), Weight: m.Weight, Keys: m.Keys, KeysSent: m.KeysSent,
			Slack: m.Slack, Subscribed: m.Subscribed})
	}
	return s
}
