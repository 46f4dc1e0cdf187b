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
	scheduleTick  = 20 * time.Millisecond  // interval of the generator's schedule, whose lateness is measured
	pollInterval  = 100 * time.Millisecond // between two checks whether members know of a change
	skippedMember = -1                     // marks a member that is not waited for, in place of the time at which it knew
	profileCount  = 16                     // number of sets of servers that members of a process have sessions on
	variantCount  = 4                      // variants of each set, published in turn
	variantChange = 0.01                   // probability that a count is doubled in a variant
)

// errUnknownRequest is returned for a request without a known field.
var errUnknownRequest = errors.New("unknown kind of request")

// RunWorker runs a child process of a scale run: it answers requests on in until in ends.
func RunWorker(in io.Reader, out io.Writer) error {
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
		reply, err := w.handle(&request)
		if err != nil {
			reply = Reply{Error: err.Error()}
		}
		if err := replies.Encode(reply); err != nil {
			return err
		}
	}
}

// worker is the state of a child process, which holds hollow members or the stand-in discovery service.
type worker struct {
	network  network
	profiles [][][]sharing.SessionCount // counts to publish, by set of servers and variant
	started  *StartMembers              // the request that started the members, nil before

	mu       sync.Mutex // guards members, restarts and failed: members restart while requests are answered
	members  []*member  // in the order of the request
	restarts int        // number of members restarted
	failed   error      // errors of restarts

	list     *listService // nil without
	lateness *load.Lateness
	running  sync.WaitGroup
	done     chan struct{} // closed at the end of the process
}

// handle carries out one request.
func (w *worker) handle(request *Request) (Reply, error) {
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
		w.setImpairment(request.Impair)
		return Reply{}, nil
	case request.Restart != nil:
		return w.restart(request.Restart)
	}
	return Reply{}, errUnknownRequest
}

// start starts the members, evenly spread over the request's ramp.
func (w *worker) start(request *StartMembers) error {
	if w.done != nil {
		return errors.New("the members are started already")
	}
	w.done, w.started = make(chan struct{}), request
	w.lateness = load.NewLateness(request.LateBound)
	w.profiles = serverProfiles(request)
	w.running.Go(w.trackLateness)
	began := time.Now()
	for i, spec := range request.Members {
		offset := request.Ramp * time.Duration(i) / time.Duration(len(request.Members))
		time.Sleep(time.Until(began.Add(offset)))
		m, err := startMember(spec, request, &w.network)
		if err != nil {
			return fmt.Errorf("member %d: %w", spec.ID, err)
		}
		w.mu.Lock()
		w.members = append(w.members, m)
		w.mu.Unlock()
		w.running.Go(func() { m.publishLoop(w.profile(i)) })
	}
	return nil
}

// profile returns the variants of counts that the member at an index publishes.
func (w *worker) profile(i int) [][]sharing.SessionCount { return w.profiles[i%len(w.profiles)] }

// currentMembers returns the members that run now.
func (w *worker) currentMembers() []*member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.members)
}

// setImpairment changes the simulated network of all members.
func (w *worker) setImpairment(impairment *Impairment) {
	if impairment.isZero() {
		impairment = nil
	}
	w.network.impairment.Store(impairment)
}

// restart draws the members to restart and the delay of each. The same seed gives the same draws.
func (w *worker) restart(request *Restart) (Reply, error) {
	rng := rand.New(rand.NewSource(request.Seed))
	for i, m := range w.currentMembers() {
		chosen, delay := rng.Float64() < request.Share, time.Duration(rng.Float64()*float64(request.Within))
		if !chosen || m.spec.ID == request.Keep {
			continue
		}
		w.running.Go(func() {
			select {
			case <-time.After(delay):
				w.restartMember(i)
			case <-w.done:
			}
		})
	}
	return Reply{At: time.Now().UnixNano()}, nil
}

// restartMember closes a member and starts another of the same name in its place, without the state of the old one except for
// its marked count.
func (w *worker) restartMember(i int) {
	previous := w.currentMembers()[i]
	previous.close()
	replacement, err := startMember(previous.spec, w.started, &w.network)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failed = errors.Join(w.failed, fmt.Errorf("member %d: %w", previous.spec.ID, err))
		return
	}
	select {
	case <-w.done:
		replacement.close()
		return
	default:
	}
	replacement.mark.Store(previous.mark.Load())
	replacement.link.add(previous.link.traffic())
	w.members[i] = replacement
	w.restarts++
	w.running.Go(func() { replacement.publishLoop(w.profile(i)) })
}

// serverProfiles draws sets of servers that members have sessions on, each in some variants with slightly different counts.
// Members share these sets, which saves memory of the generator.
func serverProfiles(request *StartMembers) [][][]sharing.SessionCount {
	rng := rand.New(rand.NewSource(request.Seed))
	names := make([]string, request.Servers)
	for i := range names {
		names[i] = serverName(i)
	}
	ownKeys := max(request.Keys-1, 0) // the last key is the common count
	profiles := make([][][]sharing.SessionCount, profileCount)
	for p := range profiles {
		held := rng.Perm(request.Servers)[:ownKeys]
		for range variantCount {
			facts := make([]sharing.SessionCount, 0, request.Keys)
			for _, server := range held {
				sessions := uint32(10 + server%50) // 10 to 59, so that the counts differ
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

// publishLoop publishes a member's counts each interval, at a random offset, until the member is closed.
func (m *member) publishLoop(variants [][]sharing.SessionCount) {
	first := time.NewTimer(time.Duration(rand.Int63n(int64(publishInterval))))
	defer first.Stop()
	select {
	case <-first.C:
	case <-m.done:
		return
	}
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		m.publish(variants[n%len(variants)])
		select {
		case <-ticker.C:
		case <-m.done:
			return
		}
	}
}

// trackLateness measures how late this process runs its own ticks, so that delays caused by a lack of processor time are not
// reported as delays of the sharing mechanism.
func (w *worker) trackLateness() {
	next := time.Now()
	for {
		next = next.Add(scheduleTick)
		select {
		case <-time.After(time.Until(next)):
			w.lateness.Record(max(time.Since(next), 0))
		case <-w.done:
			return
		}
		if behind := time.Since(next); behind > scheduleTick { // skips the ticks that were missed: one record stands for them
			next = next.Add(behind.Truncate(scheduleTick))
		}
	}
}

// publishMark changes a member's marked count and replies with the time of the change.
func (w *worker) publishMark(request *PublishMark) (Reply, error) {
	for _, m := range w.currentMembers() {
		if m.spec.ID == request.Member {
			changedAt := time.Now().UnixNano()
			m.publishMark(request.Value)
			return Reply{At: changedAt}, nil
		}
	}
	return Reply{}, fmt.Errorf("no member %d here", request.Member)
}

// await polls the members until all know of a change, or for the request's timeout.
func (w *worker) await(request *AwaitChange) Reply {
	known := make([]int64, len(w.currentMembers()))
	missing, skipped := len(known), 0
	for i, m := range w.currentMembers() {
		if slices.Contains(request.SkipZones, m.spec.Zone) {
			known[i] = skippedMember
			skipped++
			missing--
		}
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(request.Timeout); missing > 0 && time.Now().Before(deadline); <-ticker.C {
		for i, m := range w.currentMembers() {
			if time.Now().After(deadline) { // on a busy machine one round over all members can outlast the timeout
				break
			}
			if known[i] == 0 && m.hasSeen(request) {
				known[i] = time.Now().UnixNano()
				missing--
			}
		}
	}
	known = slices.DeleteFunc(known, func(at int64) bool { return at == skippedMember })
	return Reply{Known: known, Skipped: skipped}
}

// hasSeen reports whether the member knows of a change.
func (m *member) hasSeen(request *AwaitChange) bool {
	if request.Revision > 0 {
		revision, _ := m.list()
		if revision < request.Revision {
			return false
		}
	}
	for _, bound := range request.Sums {
		figure, ok := m.sharedState.Figure(aggregation.ByListener, bound.Name)
		if !ok || figure.Value < bound.AtLeast || figure.Value > bound.AtMost {
			return false
		}
	}
	return true
}

// apply parses the settings once for each member and replies with the times.
func (w *worker) apply(request *ApplySettings) (Reply, error) {
	took := make([]time.Duration, len(w.currentMembers()))
	for i := range took {
		began := time.Now()
		if err := readSettings(request.Settings); err != nil {
			return Reply{}, err
		}
		took[i] = time.Since(began)
	}
	return Reply{Took: took}, nil
}

// sums returns the sum of the common count at each member.
func (w *worker) sums() (Reply, error) {
	var sums []aggregation.Figure
	for _, m := range w.currentMembers() {
		figure, ok := m.sharedState.Figure(aggregation.ByListener, commonName)
		if !ok {
			return Reply{}, fmt.Errorf("member %d is closed", m.spec.ID)
		}
		sums = append(sums, figure)
	}
	return Reply{Sums: sums}, nil
}

// usage returns the cumulative usage of this process. It fails if a restart has failed.
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

// close stops the members and the discovery service and waits for all goroutines.
func (w *worker) close() {
	if w.done != nil {
		close(w.done)
	}
	for _, m := range w.currentMembers() {
		m.close()
	}
	w.running.Wait()
	if w.list != nil {
		w.list.close()
	}
}
