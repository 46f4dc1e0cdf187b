package scale

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"chalkferry/internal/sharing"
	"chalkferry/internal/standin/judge"
	"chalkferry/internal/standin/list"
)

// listService is the stand-in discovery service of all members: one address, and the bytes that pass it.
type listService struct {
	list     *list.List
	server   *http.Server
	listener *countingListener
	servers  int
}

const listReadTimeout = 5 * time.Second

func newListService(request *ServeList) (*listService, error) {
	began := time.Now()
	var entries []list.Member
	places := make([]judge.Place, request.Servers)
	for i := range request.Servers {
		places[i] = judge.Place{Zone: zoneName(i % request.Zones), Cell: fmt.Sprint(i / 4)}
		entries = append(entries, list.Member{ID: serverName(i), HostPort: fmt.Sprintf("127.0.0.1:%d", 1+i%65535),
			Locality: places[i].Zone, Flavor: "stand-in", Cell: i / 4, Phase: "ready", Size: 1})
	}
	rules := judge.New(time.Hour, time.Hour, time.Hour, false, places) // no proxy is judged by this list
	s := &listService{list: list.New(func() time.Duration { return time.Since(began) }, rules, 0, entries), servers: request.Servers}
	door, err := s.list.Open(0, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		door.Close(0)
		return nil, err
	}
	s.listener = &countingListener{Listener: listener}
	s.server = &http.Server{Handler: door, ReadHeaderTimeout: listReadTimeout}
	go s.server.Serve(s.listener) // ends with the server
	return s, nil
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

func (s *listService) traffic() sharing.Traffic {
	l := s.listener
	return sharing.Traffic{BytesIn: l.bytesIn.Load(), BytesOut: l.bytesOut.Load(), PacketsIn: l.reads.Load(), PacketsOut: l.writes.Load()}
}

func (s *listService) close() {
	s.list.Close()
	s.server.Close()
}

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
	if w.list == nil || request.Server < 0 || request.Server >= w.list.servers {
		return Reply{}, fmt.Errorf("no server %d in a list of this process", request.Server)
	}
	at := time.Now().UnixNano()
	w.list.list.Change(judge.NodeID(request.Server), request.Phase, "", time.Time{})
	return Reply{At: at}, nil
}
