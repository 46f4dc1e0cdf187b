package sharing

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"chalkferry/internal/aggregation"
)

// memberQueueLength is how many received messages can wait at a member, which receives about ten per second.
const memberQueueLength = 64

// Member is the part of a proxy that reports the proxy's session counts to the aggregators of its region, and receives
// the sums over the fleet from them. Its methods may be called from any goroutine.
type Member struct {
	config   MemberConfig
	log      zerolog.Logger
	state    *aggregation.Member
	endpoint *endpoint
	status   *statusServer
	names    aggregatorNames
	counts   *publishedCounts

	published      chan []SessionCount
	statusRequests chan chan MemberStatus
	figureRequests chan figureRequest
	context        context.Context
	stop           context.CancelFunc
	done           sync.WaitGroup

	supersededLogged bool // that another process has this member's name
}

// StartMember opens the socket, and the status server if the configuration has an address for it, and begins to send and
// receive. It returns an error if the configuration is invalid or if one of the two addresses can't be used.
func StartMember(config MemberConfig, log zerolog.Logger) (*Member, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	state, err := newMemberState(config)
	if err != nil {
		return nil, err
	}
	end, err := listen(config.Listen, memberQueueLength, newDropLog(log, config.Freshness+config.Decay))
	if err != nil {
		return nil, err
	}
	if config.WrapSocket != nil {
		end.conn = config.WrapSocket(end.conn)
	}
	m := &Member{config: config, log: log, state: state, endpoint: end, names: aggregatorNames{},
		counts: newPublishedCounts(config.MaxKeys), published: make(chan []SessionCount, 1),
		statusRequests: make(chan chan MemberStatus), figureRequests: make(chan figureRequest)}
	m.context, m.stop = context.WithCancel(context.Background())
	for _, a := range config.Aggregators {
		m.names[aggregatorID(a.Name)] = aggregatorName{name: a.Name, address: a.Address.String()}
	}
	if m.status, err = serveStatus(config.Status, m.Status); err != nil {
		end.conn.Close()
		return nil, err
	}
	m.done.Go(end.read)
	m.done.Go(m.run)
	log.Info().Str("name", config.Name).Str("region", config.Region).Int("aggregators", len(config.Aggregators)).
		Stringer("listen", end.address()).Str("status", m.status.address()).Msg("sharing with the fleet is on")
	return m, nil
}

func newMemberState(config MemberConfig) (*aggregation.Member, error) {
	logic := aggregation.MemberConfig{ID: memberID(config.Name), Region: config.Region, Zone: config.Zone,
		Incarnation: newIncarnation(), MaxKeys: config.MaxKeys, ChangeShare: config.ChangeShare,
		Freshness: config.Freshness, Decay: config.Decay}
	for _, a := range config.Aggregators {
		logic.Aggregators = append(logic.Aggregators, aggregatorID(a.Name))
	}
	return aggregation.NewMember(bootTime(), logic)
}

// Publish replaces the published counts: it takes all session counts of the proxy, and names that are missing count as 0.
// It never blocks. If the previous counts are still waiting to be processed, the new ones are dropped, as the next
// publication follows soon. The slice must not be changed after the call.
func (m *Member) Publish(counts []SessionCount) {
	select {
	case m.published <- counts:
	default:
	}
}

// Close stops the member and waits until its goroutines have ended.
func (m *Member) Close() {
	m.stop()
	m.endpoint.conn.Close()
	m.status.close()
	m.done.Wait()
}

// StatusAddress returns the address that the status is served at, or "" if it is not served.
func (m *Member) StatusAddress() string { return m.status.address() }

// Status returns the current status; false if the member was closed.
func (m *Member) Status() (MemberStatus, bool) {
	return requestStatus(m.context, m.statusRequests)
}

// requestStatus gets the status from the goroutine that owns the state. ok is false if ctx ends before.
func requestStatus[T any](ctx context.Context, requests chan<- chan T) (status T, ok bool) {
	reply := make(chan T, 1)
	select {
	case requests <- reply:
		return <-reply, true
	case <-ctx.Done():
		return status, false
	}
}

// run is the goroutine that owns the state. It returns when the member is closed.
func (m *Member) run() {
	report := newPacer(m.config.ReportInterval)
	defer report.stop()
	for {
		select {
		case <-m.context.Done():
			return
		case counts := <-m.published:
			m.counts.publish(counts, m.set)
		case d := <-m.endpoint.received:
			m.receive(d)
		case <-report.C:
			report.ticked()
			m.report()
		case reply := <-m.statusRequests:
			reply <- m.currentStatus()
		case request := <-m.figureRequests:
			request.reply <- m.state.Figure(bootTime(), request.key)
		}
	}
}

// set sets the value of a key. A key for which there is no room is dropped, and counted by aggregation.Member.
func (m *Member) set(k aggregation.Key, value uint64) { m.state.Set(k, value) }

// report sends the same report to all aggregators of the region.
func (m *Member) report() {
	encoded, err := encode(m.state.Report(bootTime()))
	if err != nil {
		m.log.Error().Err(err).Msg("a report can't be sent")
		return
	}
	for _, a := range m.config.Aggregators {
		m.endpoint.send(encoded, a.Address)
	}
}

func (m *Member) receive(d datagram) {
	outcome := aggregation.UnknownSender // for messages that only aggregators receive
	switch content := d.content.(type) {
	case aggregation.Digest:
		outcome = m.state.ReceiveDigest(bootTime(), content)
	case aggregation.Refusal:
		outcome = m.state.ReceiveRefusal(bootTime(), content)
		m.logSuperseded()
	}
	m.endpoint.countOutcome(d.from, outcome)
}

// logSuperseded logs once that a later process has this member's name.
func (m *Member) logSuperseded() {
	if m.state.Superseded() && !m.supersededLogged {
		m.supersededLogged = true
		m.log.Error().Str("name", m.config.Name).Msg("a later process has this member's name; this one is not counted")
	}
}

func (m *Member) currentStatus() MemberStatus {
	now := bootTime()
	s := MemberStatus{
		StatusHead: StatusHead{Role: RoleMember, Name: m.config.Name, Region: m.config.Region, Zone: m.config.Zone,
			Listen: m.endpoint.address().String(), Incarnation: m.state.Incarnation()},
		Superseded:  m.state.Superseded(),
		Aggregators: []AggregatorStatus{},
		Regions:     []RegionStatus{},
		Sums:        []SumStatus{},
		Datagrams:   m.endpoint.counters.snapshot(),
		Dropped:     droppedStatus(m.state.Counters()),
	}
	for _, a := range m.state.Aggregators(now) {
		s.Aggregators = append(s.Aggregators, m.names.status(a))
	}
	for _, r := range m.state.Regions(now) {
		s.Regions = append(s.Regions, m.names.regionStatus(r))
	}
	for _, k := range m.state.Keys() {
		s.Sums = append(s.Sums, sumStatus(k, m.counts.name(k), m.state.Figure(now, k)))
	}
	return s
}
