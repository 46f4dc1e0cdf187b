package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"

	"chalkferry/internal/aggregation"
	"chalkferry/internal/load"
	"chalkferry/internal/sharing"
)

const (
	scheduleTick  = 20 * time.Millisecond // of the generator's schedule, whose lateness is measured
	pollInterval  = 100 * time.Millisecond
	skippedMember = -1
	profileCount  = 16   // different sets of servers that members of a process hold sessions of
	variantCount  = 4    // of each set, published in turn
	variantChange = 0.01 // share of counts in which two variants differ
)

// errNoRequest is returned for a request without a known field.
var errNoRequest = errors.New("a request of no known kind")

// Serve runs a child process of a scale run: it answers requests until its input ends.
func Serve(in io.Reader, out io.Writer) error {
	w := &worker{}
	defer w.close()
	requests, replies := json.NewDecoder(in), json.NewEncoder(out)
	for {
		var request Request
		if err := requests.Decode(&request); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		reply, err := w.answer(&request)
		if err != nil {
			reply = Reply{Error: err.Error()}
		}
		if err := replies.Encode(reply); err != nil {
			return err
		}
	}
}

// worker is a child process: it holds hollow members, or the stand-in discovery service.
type worker struct {
	network  network
	profiles [][][]sharing.SessionCount
	started  *StartMembers // the request

	mu       sync.Mutex // restarts go on while requests are answered
	members  []*member  // in the order of the request
	restarts int
	failed   error // of a restart

	list     *listService
	lateness *load.Lateness
	running  sync.WaitGroup
	done     chan struct{}
}

func (w *worker) answer(request *Request) (Reply, error) {
	switch {
	case request.Start != nil:
		return Reply{}, w.start(request.Start)
	case request.Serve != nil:
		return w.serveList(request.Serve)
	case request.Publish != nil:
		return w.publishMark(request.Publish)
	case request.Await != nil:
		return w.await(request.Await), nil
	case request.Change != nil:
		return w.changeList(request.Change)
	case request.Apply != nil:
		return w.apply(request.Apply)
	case request.Measure != nil:
		usage, err := w.usage()
		return Reply{Usage: usage}, err
	case request.Sums != nil:
		return w.sums()
	case request.Impair != nil:
		w.impair(request.Impair)
		return Reply{}, nil
	case request.Restart != nil:
		return w.restart(request.Restart)
	}
	return Reply{}, errNoRequest
}

func (w *worker) start(request *StartMembers) error {
	if w.done != nil {
		return errors.New("the members are started already")
	}
	w.done, w.started = make(chan struct{}), request
	w.lateness = load.NewLateness(request.LateBound)
	w.profiles = serverProfiles(request)
	w.running.Go(w.keepSchedule)
	began := time.Now()
	for i, spec := range request.Members {
		at := request.Ramp * time.Duration(i) / time.Duration(len(request.Members))
		time.Sleep(time.Until(began.Add(at)))
		m, err := startMember(spec, request, &w.network)
		if err != nil {
			return fmt.Errorf("member %d: %w", spec.ID, err)
		}
		w.mu.Lock()
		w.members = append(w.members, m)
		w.mu.Unlock()
		w.running.Go(func() { m.publishing(w.profile(i)) })
	}
	return nil
}

// profile returns the variants that the member at a place of the request publishes.
func (w *worker) profile(i int) [][]sharing.SessionCount { return w.profiles[i%len(w.profiles)] }

// current returns the members that run now.
func (w *worker) current() []*member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.members)
}

// impair changes the network of all members.
func (w *worker) impair(impairment *Impairment) {
	if impairment.isNone() {
		impairment = nil
	}
	w.network.impairment.Store(impairment)
}

func (w *worker) restart(request *Restart) (Reply, error) {
	rng := rand.New(rand.NewSource(request.Seed))
	for i, m := range w.current() {
		chosen, at := rng.Float64() < request.Share, time.Duration(rng.Float64()*float64(request.Within))
		if !chosen || m.spec.ID == request.Keep {
			continue
		}
		w.running.Go(func() {
			select {
			case <-time.After(at):
				w.restartMember(i)
			case <-w.done:
			}
		})
	}
	return Reply{At: time.Now().UnixNano()}, nil
}

// restartMember ends a member and starts one of the same name in its place, which knows nothing of what it held.
func (w *worker) restartMember(i int) {
	was := w.current()[i]
	was.close()
	is, err := startMember(was.spec, w.started, &w.network)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failed = errors.Join(w.failed, fmt.Errorf("member %d: %w", was.spec.ID, err))
		return
	}
	select {
	case <-w.done:
		is.close()
		return
	default:
	}
	is.mark.Store(was.mark.Load())
	is.link.count(was.link.traffic())
	w.members[i] = is
	w.restarts++
	w.running.Go(func() { is.publishing(w.profile(i)) })
}

// serverProfiles draws sets of servers that members hold sessions of, each in some variants that differ a little, so
// that members of a set can share the memory of the generator.
func serverProfiles(request *StartMembers) [][][]sharing.SessionCount {
	rng := rand.New(rand.NewSource(request.Seed))
	names := make([]string, request.Servers)
	for i := range names {
		names[i] = serverName(i)
	}
	own := max(request.Keys-1, 0) // the last is the common one
	profiles := make([][][]sharing.SessionCount, profileCount)
	for p := range profiles {
		held := rng.Perm(request.Servers)[:own]
		for range variantCount {
			facts := make([]sharing.SessionCount, 0, request.Keys)
			for _, server := range held {
				sessions := uint32(10 + server%50)
				if rng.Float64() < variantChange {
					sessions *= 2
				}
				facts = append(facts, sharing.SessionCount{Kind: aggregation.ByServer, Name: names[server], Sessions: sessions})
			}
			facts = append(facts, sharing.SessionCount{Kind: aggregation.ByListener, Name: commonName, Sessions: commonHeld})
			profiles[p] = append(profiles[p], facts)
		}
	}
	return profiles
}

func serverName(i int) string { return fmt.Sprintf("push-%d", i) }

// publishing publishes a member's counts at an offset of its own within the interval.
func (m *member) publishing(variants [][]sharing.SessionCount) {
	first := time.NewTimer(time.Duration(rand.Int63n(int64(publishInterval))))
	defer first.Stop()
	select {
	case <-first.C:
	case <-m.ended:
		return
	}
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		m.publish(variants[n%len(variants)])
		select {
		case <-ticker.C:
		case <-m.ended:
			return
		}
	}
}

// keepSchedule measures how late this process comes to its own ticks: what members do late for want of a processor
// must not be reported as the mechanism's delay.
func (w *worker) keepSchedule() {
	next := time.Now()
	for {
		next = next.Add(scheduleTick)
		select {
		case <-time.After(time.Until(next)):
			w.lateness.Record(max(time.Since(next), 0))
		case <-w.done:
			return
		}
		if behind := time.Since(next); behind > scheduleTick { // each tick that was missed is late
			next = next.Add(behind.Truncate(scheduleTick))
		}
	}
}

func (w *worker) publishMark(request *PublishMark) (Reply, error) {
	for _, m := range w.current() {
		if m.spec.ID == request.Member {
			at := time.Now().UnixNano()
			m.publishMark(request.Value)
			return Reply{At: at}, nil
		}
	}
	return Reply{}, fmt.Errorf("no member %d here", request.Member)
}

func (w *worker) await(request *AwaitChange) Reply {
	known := make([]int64, len(w.current()))
	missing, skipped := len(known), 0
	for i, m := range w.current() {
		if slices.Contains(request.SkipZones, m.spec.Zone) {
			known[i] = skippedMember
			skipped++
			missing--
		}
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for limit := time.Now().Add(request.Timeout); missing > 0 && time.Now().Before(limit); <-ticker.C {
		for i, m := range w.current() {
			if time.Now().After(limit) { // a machine that is too busy takes long to ask all
				break
			}
			if known[i] == 0 && m.knows(request) {
				known[i] = time.Now().UnixNano()
				missing--
			}
		}
	}
	known = slices.DeleteFunc(known, func(at int64) bool { return at == skippedMember })
	return Reply{Known: known, Skipped: skipped}
}

func (m *member) knows(request *AwaitChange) bool {
	if request.Revision > 0 {
		revision, _ := m.list()
		if revision < request.Revision {
			return false
		}
	}
	for _, bound := range request.Sums {
		figure, ok := m.sharer.Figure(aggregation.ByListener, bound.Name)
		if !ok || figure.Value < bound.AtLeast || figure.Value > bound.AtMost {
			return false
		}
	}
	return true
}

func (w *worker) apply(request *ApplySettings) (Reply, error) {
	took := make([]time.Duration, len(w.current()))
	for i := range took {
		began := time.Now()
		if err := readSettings(request.Settings); err != nil {
			return Reply{}, err
		}
		took[i] = time.Since(began)
	}
	return Reply{Took: took}, nil
}

func (w *worker) sums() (Reply, error) {
	var sums []aggregation.Figure
	for _, m := range w.current() {
		figure, ok := m.sharer.Figure(aggregation.ByListener, commonName)
		if !ok {
			return Reply{}, fmt.Errorf("member %d is closed", m.spec.ID)
		}
		sums = append(sums, figure)
	}
	return Reply{Sums: sums}, nil
}

func (w *worker) usage() (*Usage, error) {
	w.mu.Lock()
	members, restarts, failed := slices.Clone(w.members), w.restarts, w.failed
	w.mu.Unlock()
	if failed != nil {
		return nil, failed
	}
	u := &Usage{At: time.Now().UnixNano(), Members: len(members), Restarts: restarts}
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		return nil, err
	}
	u.CPU = time.Duration(used.Utime.Nano() + used.Stime.Nano())
	self, err := procfs.Self()
	if err != nil {
		return nil, err
	}
	status, err := self.NewStatus()
	if err != nil {
		return nil, err
	}
	u.Resident = status.VmRSS
	for _, m := range members {
		traffic := m.link.traffic()
		u.Sharing = u.Sharing.plus(traffic)
		if traffic.PacketsOut == 0 {
			u.Silent++
		}
		if _, watching := m.list(); watching {
			u.Watching++
		}
	}
	if w.list != nil {
		u.List = w.list.traffic()
	}
	if w.lateness != nil {
		late, tooMany, all := w.lateness.Result()
		u.Ticks, u.Late, u.TooLate, u.LateP99, u.LateMax = all.N, late, tooMany, all.P99, all.Max
	}
	return u, nil
}

func (w *worker) close() {
	if w.done != nil {
		close(w.done)
	}
	for _, m := range w.current() {
		m.close()
	}
	w.running.Wait()
	if w.list != nil {
		w.list.close()
	}
}
