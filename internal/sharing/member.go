package sharing

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"chalkferry/internal/aggregation"
)

// memberQueue is how many received messages of a member may wait: some ten come in a second.
const memberQueue = 64

// Member is a proxy's end: it reports what the proxy holds to the aggregators of its region, and receives the sums
// over the fleet.
type Member struct {
	config   MemberConfig
	log      zerolog.Logger
	state    *aggregation.Member
	endpoint *endpoint
	status   *statusServer
	names    aggregatorNames
	facts    *factSet

	published chan []Fact
	asks      chan chan MemberStatus
	figures   chan figureRequest
	context   context.Context
	stop      context.CancelFunc
	done      sync.WaitGroup

	wasSuperseded bool // the log has it
}

// StartMember opens the socket, and the status where the configuration names an address, and begins to send and
// receive. Errors are those of Validate and of the two addresses.
func StartMember(config MemberConfig, log zerolog.Logger) (*Member, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	state, err := newMemberState(config)
	if err != nil {
		return nil, err
	}
	end, err := listen(config.Listen, memberQueue, newWarnings(log, config.Freshness+config.Decay))
	if err != nil {
		return nil, err
	}
	if config.WrapSocket != nil {
		end.conn = config.WrapSocket(end.conn)
	}
	m := &Member{config: config, log: log, state: state, endpoint: end, names: aggregatorNames{},
		facts: newFactSet(config.MaxKeys), published: make(chan []Fact, 1), asks: make(chan chan MemberStatus), figures: make(chan figureRequest)}
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
	return aggregation.NewMember(boot(), logic)
}

// Publish takes all that the proxy holds now. It never waits: facts that come before the ones before were taken are
// dropped, as the next come soon.
func (m *Member) Publish(facts []Fact) {
	select {
	case m.published <- facts:
	default:
	}
}

// Close ends it and waits until its goroutines have ended.
func (m *Member) Close() {
	m.stop()
	m.endpoint.conn.Close()
	m.status.close()
	m.done.Wait()
}

// StatusAddress is where the status is served, "" for nowhere.
func (m *Member) StatusAddress() string { return m.status.address() }

// Status is the state now; false if it has ended.
func (m *Member) Status() (MemberStatus, bool) {
	return askFor(m.context, m.asks)
}

// askFor has the goroutine that owns a state answer.
func askFor[T any](ctx context.Context, asks chan<- chan T) (answer T, ok bool) {
	reply := make(chan T, 1)
	select {
	case asks <- reply:
		return <-reply, true
	case <-ctx.Done():
		return answer, false
	}
}

// run owns the state.
func (m *Member) run() {
	report := newPacer(m.config.ReportInterval)
	defer report.stop()
	for {
		select {
		case <-m.context.Done():
			return
		case facts := <-m.published:
			m.facts.publish(facts, m.set)
		case d := <-m.endpoint.received:
			m.receive(d)
		case <-report.C:
			report.ticked()
			m.report()
		case reply := <-m.asks:
			reply <- m.currentStatus()
		case request := <-m.figures:
			request.reply <- m.state.Figure(boot(), request.key)
		}
	}
}

// set drops a key for which there is no room: the logic counts it.
func (m *Member) set(k aggregation.Key, value uint64) { m.state.Set(k, value) }

// report sends one datagram to all aggregators of the region.
func (m *Member) report() {
	encoded, err := encode(m.state.Report(boot()))
	if err != nil {
		m.log.Error().Err(err).Msg("a report can't be sent")
		return
	}
	for _, a := range m.config.Aggregators {
		m.endpoint.send(encoded, a.Address)
	}
}

func (m *Member) receive(d datagram) {
	outcome := aggregation.UnknownSender // of what only aggregators receive
	switch content := d.content.(type) {
	case aggregation.Digest:
		outcome = m.state.ReceiveDigest(boot(), content)
	case aggregation.Refusal:
		outcome = m.state.ReceiveRefusal(boot(), content)
		m.noteSuperseded()
	}
	m.endpoint.countOutcome(d.from, outcome)
}

// noteSuperseded logs once that another process has this one's name.
func (m *Member) noteSuperseded() {
	if m.state.Superseded() && !m.wasSuperseded {
		m.wasSuperseded = true
		m.log.Error().Str("name", m.config.Name).Msg("a later process has this member's name; this one is not counted")
	}
}

func (m *Member) currentStatus() MemberStatus {
	now := boot()
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
		s.Sums = append(s.Sums, sumStatus(k, m.facts.name(k), m.state.Figure(now, k)))
	}
	return s
}
