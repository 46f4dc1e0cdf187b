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
	// aggregatorQueue is how many received messages of an aggregator may wait. A region of 2,500 members sends some
	// 6,300 reports a second.
	aggregatorQueue = 8192
	// aggregatorSocketBuffer is asked of the kernel for the socket in each direction; net.core.rmem_max and wmem_max
	// bound what it grants.
	aggregatorSocketBuffer = 4 << 20
	// slotSpan is the time between two batches of datagrams to members: each gets its own slot of an interval, so that
	// datagrams to thousands of members don't leave at once.
	slotSpan = 10 * time.Millisecond
)

// Aggregator is the process that adds up what the members of its region report.
type Aggregator struct {
	config   AggregatorConfig
	log      zerolog.Logger
	state    *aggregation.Aggregator
	endpoint *endpoint
	status   *statusServer
	names    aggregatorNames
	members  *addressBook

	incarnation aggregation.Incarnation

	digests    *broadcast
	heartbeats *broadcast
	digest     aggregation.Digest // the latest
	digestAt   time.Duration      // when it was made

	asks    chan chan AggregatorProcessStatus
	context context.Context
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// StartAggregator opens the socket, and the status where the configuration names an address, and begins to receive and
// send. Errors are those of Validate and of the two addresses.
func StartAggregator(config AggregatorConfig, log zerolog.Logger) (*Aggregator, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	incarnation := newIncarnation()
	state, err := newAggregatorState(config, incarnation)
	if err != nil {
		return nil, err
	}
	end, err := listen(config.Listen, aggregatorQueue, newWarnings(log, config.Freshness+config.Decay))
	if err != nil {
		return nil, err
	}
	if err := end.setBuffers(aggregatorSocketBuffer); err != nil {
		end.conn.Close()
		return nil, fmt.Errorf("the socket's buffers: %w", err)
	}
	a := &Aggregator{config: config, log: log, state: state, endpoint: end, names: aggregatorNames{},
		members: newAddressBook(), incarnation: incarnation, asks: make(chan chan AggregatorProcessStatus)}
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
	return aggregation.NewAggregator(boot(), logic)
}

// Close ends it and waits until its goroutines have ended.
func (a *Aggregator) Close() {
	a.stop()
	a.endpoint.conn.Close()
	a.status.close()
	a.done.Wait()
}

// StatusAddress is where the status is served, "" for nowhere.
func (a *Aggregator) StatusAddress() string { return a.status.address() }

// Status is the state now; false if it has ended.
func (a *Aggregator) Status() (AggregatorProcessStatus, bool) {
	status, ok := askFor(a.context, a.asks)
	if ok { // what the kernel says takes a while to read
		status.Datagrams.SocketDropped, status.SocketBuffer = a.endpoint.socketState()
	}
	return status, ok
}

// run owns the state.
func (a *Aggregator) run() {
	exchange := newPacer(a.config.ExchangeInterval)
	defer exchange.stop()
	slot := newPacer(slotSpan)
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
			a.sendSlots(boot())
		case reply := <-a.asks:
			reply <- a.currentStatus()
		}
	}
}

func (a *Aggregator) receive(d datagram) {
	now := boot()
	outcome := aggregation.UnknownSender // of what only members receive
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

// encode returns nil for a message that can't be sent.
func (a *Aggregator) encode(content message) []byte {
	encoded, err := encode(content)
	if err != nil {
		a.log.Error().Err(err).Msg("a message can't be sent")
	}
	return encoded
}

// sendRegionSum sends one datagram to all other aggregators.
func (a *Aggregator) sendRegionSum() {
	encoded := a.encode(a.state.RegionSum(boot()))
	if encoded == nil {
		return
	}
	for _, peer := range a.config.Peers {
		a.endpoint.send(encoded, peer.Address)
	}
}

// sendSlots sends the members whose slot has come a digest if they subscribe, and a heartbeat if they don't. The digest
// is made once an interval and goes out as it is but for its ages: its head must not say more than its entries hold.
func (a *Aggregator) sendSlots(now time.Duration) {
	if a.digests.advance(now) {
		a.digest, a.digestAt = a.state.Digest(now), now
	}
	if a.heartbeats.advance(now) {
		a.members.forget(func(id aggregation.MemberID) bool { return !a.state.KnownMember(now, id) })
	}
	isSubscribed := func(id aggregation.MemberID) bool { return a.state.Subscribed(now, id) }
	a.sendDue(a.digests, isSubscribed, func() aggregation.Digest { return aged(a.digest, now-a.digestAt) })
	isOther := func(id aggregation.MemberID) bool { return !isSubscribed(id) }
	a.sendDue(a.heartbeats, isOther, func() aggregation.Digest { return a.state.Heartbeat(now) })
}

// aged returns a digest as it is a span after it was made.
func aged(digest aggregation.Digest, by time.Duration) aggregation.Digest {
	digest.Regions = slices.Clone(digest.Regions)
	for i := range digest.Regions {
		digest.Regions[i].Age += by
	}
	return digest
}

// sendDue sends a message to the members that it is for and whose slot has come. It is made if there are any.
func (a *Aggregator) sendDue(b *broadcast, isFor func(aggregation.MemberID) bool, create func() aggregation.Digest) {
	var encoded []byte
	for _, member := range a.members.entries {
		if !b.isDue(member.id) || !isFor(member.id) {
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
	now := boot()
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
		s.Each = append(s.Each, KnownMemberStatus{ID: memberNumber(m.ID), Zone: m.Zone, Address: a.members.address(m.ID),
			Incarnation: m.Incarnation, AgeMS: m.Age.Milliseconds(), Weight: m.Weight, Keys: m.Keys, KeysSent: m.KeysSent,
			Slack: m.Slack, Subscribed: m.Subscribed})
	}
	return s
}
