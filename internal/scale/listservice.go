package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chalkferry/internal/discovery"
)

// listService is the stand-in discovery service of the hollow members: one address, each change encoded once for thousands
// of watches, and a count of the bytes. Real proxies use the one of internal/standin/list, which checks what each proxy was
// sent.
type listService struct {
	server   *http.Server
	listener *countingListener

	mu      sync.Mutex
	servers []discovery.Server
	deltas  [][]byte      // encoded changes: revision n is at index n - firstChangeRevision
	changed chan struct{} // closed and replaced at each change
}

const (
	listReadTimeout     = 5 * time.Second
	firstRevision       = 1                 // of the list that the service starts with
	firstChangeRevision = firstRevision + 1 // revision of the first change
	listPath            = "/api/targets"
)

// newListService starts the service on a free port of the loopback address.
func newListService(request *ServeList) (*listService, error) {
	s := &listService{changed: make(chan struct{})}
	for i := range request.Servers { // four servers to a cell; hollow members never dial the addresses
		s.servers = append(s.servers, discovery.Server{ID: serverName(i), HostPort: fmt.Sprintf("127.0.0.1:%d", 1+i%65535),
			Zone: zoneName(i % request.Zones), Model: "stand-in", Cell: uint16(i / 4), Phase: discovery.Ready, Size: 1})
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.listener = &countingListener{Listener: listener}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: listReadTimeout}
	go s.server.Serve(s.listener) // returns after close
	return s, nil
}

// change changes the phase of one server and returns the new revision.
func (s *listService) change(server int, phase string) (revision uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server < 0 || server >= len(s.servers) {
		return 0, fmt.Errorf("there is no server %d", server)
	}
	s.servers[server].Phase = phase
	revision = s.revision() + 1
	line, err := encodeList(discovery.List{Revision: revision, Servers: s.servers[server : server+1]})
	if err != nil {
		return 0, err
	}
	s.deltas = append(s.deltas, line)
	close(s.changed)
	s.changed = make(chan struct{})
	return revision, nil
}

// revision returns the current revision. The caller holds mu.
func (s *listService) revision() uint64 { return firstRevision + uint64(len(s.deltas)) }

// encodeList returns a list as one line of JSON.
func encodeList(list discovery.List) ([]byte, error) {
	if list.Servers == nil {
		list.Servers = []discovery.Server{}
	}
	line, err := json.Marshal(list)
	return append(line, '\n'), err
}

// since returns the lines that bring a watch from a revision to the current one, that revision, and a channel that is closed
// at the next change. A revision that the service does not have gets the complete list.
func (s *listService) since(after uint64) (lines []byte, revision uint64, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, changed = s.revision(), s.changed
	if after < firstRevision || after > revision {
		lines, err = encodeList(discovery.List{Revision: revision, Complete: true, Servers: s.servers})
		return lines, revision, changed, err
	}
	for _, line := range s.deltas[after-firstRevision:] {
		lines = append(lines, line...)
	}
	return lines, revision, changed, nil
}

// ServeHTTP answers a watch: the lines since its revision, then each change, and an empty line at each heartbeat.
func (s *listService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != listPath {
		http.NotFound(w, r)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // 0 if it is missing: the complete list
	heartbeat := time.NewTicker(discovery.Heartbeat)
	defer heartbeat.Stop()
	for isFirst := true; ; isFirst = false {
		lines, revision, changed, err := s.since(after)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if isFirst && len(lines) == 0 { // a watch is answered at once, though there is no change
			lines, _ = encodeList(discovery.List{Revision: revision}) // a list without servers always encodes
		}
		if len(lines) > 0 && !send(w, lines) {
			return
		}
		after = revision
		select {
		case <-changed:
		case <-heartbeat.C:
			if !send(w, []byte("\n")) {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// send writes and flushes lines; false if the connection is broken.
func send(w http.ResponseWriter, lines []byte) bool {
	if _, err := w.Write(lines); err != nil {
		return false
	}
	w.(http.Flusher).Flush()
	return true
}

// traffic returns the TCP payload bytes of all connections; packets are counts of reads and writes.
func (s *listService) traffic() Traffic {
	l := s.listener
	return Traffic{BytesIn: l.bytesIn.Load(), BytesOut: l.bytesOut.Load(), PacketsIn: l.reads.Load(), PacketsOut: l.writes.Load()}
}

func (s *listService) close() { s.server.Close() }

// countingListener counts the bytes, reads and writes of its connections.
type countingListener struct {
	net.Listener
	bytesIn, bytesOut, reads, writes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, counts: l}, nil
}

// countingConn adds its traffic to its listener's counts.
type countingConn struct {
	net.Conn
	counts *countingListener
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.counts.bytesIn.Add(int64(n))
	c.counts.reads.Add(1)
	return n, err
}

func (c *countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.counts.bytesOut.Add(int64(n))
	c.counts.writes.Add(1)
	return n, err
}

// serveList starts the discovery service in this process.
func (w *worker) serveList(request *ServeList) (Reply, error) {
	if w.list != nil {
		return Reply{}, errors.New("the list is served already")
	}
	service, err := newListService(request)
	if err != nil {
		return Reply{}, err
	}
	w.list = service
	return Reply{Address: service.listener.Addr().String()}, nil
}

// changeList changes the phase of a server.
func (w *worker) changeList(request *ChangeList) (Reply, error) {
	if w.list == nil {
		return Reply{}, errors.New("no list is served here")
	}
	at := time.Now().UnixNano()
	_, err := w.list.change(request.Server, request.Phase)
	return Reply{At: at}, err
}
