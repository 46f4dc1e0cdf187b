package sharing

import (
	"sync/atomic"

	"chalkferry/internal/fleet"
)

// Traffic counts the datagrams of one member and their payload bytes.
type Traffic struct {
	BytesIn    int64
	BytesOut   int64
	PacketsIn  int64
	PacketsOut int64
}

type traffic struct {
	bytesIn, bytesOut, packetsIn, packetsOut atomic.Int64
}

func (t *traffic) received(bytes int) {
	t.bytesIn.Add(int64(bytes))
	t.packetsIn.Add(1)
}

func (t *traffic) sent(bytes int) {
	t.bytesOut.Add(int64(bytes))
	t.packetsOut.Add(1)
}

// Traffic returns what was received and sent since the start. It may be called from any goroutine.
func (s *Sharing) Traffic() Traffic {
	t := &s.traffic
	return Traffic{BytesIn: t.bytesIn.Load(), BytesOut: t.bytesOut.Load(), PacketsIn: t.packetsIn.Load(),
		PacketsOut: t.packetsOut.Load()}
}

// Figure returns one count over the fleet; ok is false once the member is closed. It waits for the member's goroutine.
func (s *Sharing) Figure(kind fleet.CountKind, name string) (figure fleet.Figure, ok bool) {
	done := make(chan struct{})
	call := func() {
		figure = s.counts.Of(boot(), key(kind, name))
		close(done)
	}
	select {
	case s.calls <- call:
	case <-s.ends:
		return fleet.Figure{}, false
	}
	<-done
	return figure, true
}
