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

// listService is the stand-in discovery service of all hollow members: one address, each change encoded once for
// thousands of watches, and a count of the bytes. The one of internal/standin/list, which judges what each proxy was
// sent, serves the real proxies.
type listService struct {
	server   *http.Server
	listener *countingListener

	mu      sync.Mutex
	servers []discovery.Server
	deltas  [][]byte      // the line of revision n is at n - firstChange
	changed chan struct{} // closed at each change
}

const (
	listReadTimeout = 5 * time.Second
	firstRevision   = 1
	firstChange     = firstRevision + 1
	listPath        = "/api/targets"
)

func newListService(request *ServeList) (*listService, error) {
	s := &listService{changed: make(chan struct{})}
	for i := range request.Servers {
		s.servers = append(s.servers, discovery.Server{ID: serverName(i), HostPort: fmt.Sprintf("127.0.0.1:%d", 1+i%65535),
			Zone: zoneName(i % request.Zones), Model: "stand-in", Cell: uint16(i / 4), Phase: discovery.Ready, Size: 1})
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.listener = &countingListener{Listener: listener}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: listReadTimeout}
	go s.server.Serve(s.listener) // ends with the server
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

// revision needs the lock.
func (s *listService) revision() uint64 { return firstRevision + uint64(len(s.deltas)) }

func encodeList(list discovery.List) ([]byte, error) {
	if list.Servers == nil {
		list.Servers = []discovery.Server{}
	}
	line, err := json.Marshal(list)
	return append(line, '\n'), err
}

// since returns what a watch that has a revision is to be sent, and what closes at the next change.
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

func (s *listService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != listPath {
		http.NotFound(w, r)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // without: the whole list
	beat := time.NewTicker(discovery.Heartbeat)
	defer beat.Stop()
	for isFirst := true; ; isFirst = false {
		lines, revision, changed, err := s.since(after)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if isFirst && len(lines) == 0 { // the answer to the watch, though nothing is new
			lines, _ = encodeList(discovery.List{Revision: revision}) // of plain values: it can't fail
		}
		if len(lines) > 0 && !send(w, lines) {
			return
		}
		after = revision
		select {
		case <-changed:
		case <-beat.C:
			if !send(w, []byte("\n")) {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

func send(w http.ResponseWriter, lines []byte) bool {
	if _, err := w.Write(lines); err != nil {
		return false
	}
	w.(http.Flusher).Flush()
	return true
}

func (s *listService) traffic() Traffic {
	l := s.listener
	return Traffic{BytesIn: l.bytesIn.Load(), BytesOut: l.bytesOut.Load(), PacketsIn: l.reads.Load(), PacketsOut: l.writes.Load()}
}

func (s *listService) close() { s.server.Close() }

// countingListener counts what passes its connections.
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

type countingConn struct {
	net.Conn
	counts *countingListener
}

func (c *countingConn) Read(to []byte) (int, error) {
	n, err := c.Conn.Read(to)
	c.counts.bytesIn.Add(int64(n))
	c.counts.reads.Add(1)
	return n, err
}

func (c *countingConn) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	c.counts.bytesOut.Add(int64(n))
	c.counts.writes.Add(1)
	return n, err
}

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

func (w *worker) changeList(request *ChangeList) (Reply, error) {
	if w.list == nil {
		return Reply{}, errors.New("no list is served here")
	}
	at := time.Now().UnixNano()
	_, err := w.list.change(request.Server, request.Phase)
	return Reply{At: at}, err
}
