package benchwire

import (
	"encoding/binary"
	"io"
	"math"
	"time"

	"chalkferry/choice"
)

// Reply collects what the instances answer to one batch.
type Reply struct {
	buf   []byte
	count uint32
}

// Start empties the reply and addresses it to a batch.
func (r *Reply) Start(number uint32) {
	r.buf = append(r.buf[:0], make([]byte, replyHeader)...)
	binary.LittleEndian.PutUint32(r.buf[8:], number)
	r.count = 0
}

// WriteTo sends the reply.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.LittleEndian.PutUint32(r.buf, r.count)
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)-replyHeader))
	n, err := w.Write(r.buf)
	return int64(n), err
}

func (r *Reply) record(code byte, size int, instance InstanceID) {
	r.count++
	r.buf = append(r.buf, code)
	r.u32(uint32(size))
	r.u16(uint16(instance))
}

func (r *Reply) u16(v uint16) { r.buf = binary.LittleEndian.AppendUint16(r.buf, v) }
func (r *Reply) u32(v uint32) { r.buf = binary.LittleEndian.AppendUint32(r.buf, v) }
func (r *Reply) duration(d time.Duration) {
	r.buf = binary.LittleEndian.AppendUint64(r.buf, math.Float64bits(float64(d)/float64(time.Millisecond)))
}

// Dial asks for a dial of a session to a server, within a limit.
func (r *Reply) Dial(instance InstanceID, id choice.SessionID, to choice.ServerID, limit time.Duration) {
	r.record(codeDial, 18, instance)
	r.u32(uint32(id))
	r.duration(limit)
	r.u32(uint32(to))
}

// Refuse refuses a session; its client may retry after a time.
func (r *Reply) Refuse(instance InstanceID, id choice.SessionID, retryAfter time.Duration) {
	r.record(codeRefuse, 14, instance)
	r.u32(uint32(id))
	r.duration(retryAfter)
}

// TearDown ends a session as failed.
func (r *Reply) TearDown(instance InstanceID, id choice.SessionID) {
	r.record(codeTearDown, 6, instance)
	r.u32(uint32(id))
}

// Move asks a session's client to migrate.
func (r *Reply) Move(instance InstanceID, id choice.SessionID) {
	r.record(codeMove, 6, instance)
	r.u32(uint32(id))
}

// Timer asks for a tick after a time.
func (r *Reply) Timer(instance InstanceID, after time.Duration, token choice.TimerToken) {
	r.record(codeTimer, 14, instance)
	r.duration(after)
	r.u32(uint32(token))
}

// Watch asks for a watch of the list of servers.
func (r *Reply) Watch(instance InstanceID) {
	r.record(codeWatch, 3, instance)
	r.buf = append(r.buf, 1)
}

// Publish sends a delay report to all other proxies.
func (r *Reply) Publish(instance InstanceID, server choice.ServerID, delay time.Duration) {
	r.record(codePublish, 2+2+2+DelayReportSize, instance)
	r.u16(allPeers)
	r.u16(DelayReportSize)
	r.buf = AppendDelayReport(r.buf, server, delay)
}

// Log writes a line to the instance's log; a long one is cut.
func (r *Reply) Log(instance InstanceID, line string) {
	line = line[:min(len(line), math.MaxUint16)]
	r.record(codeLog, 4+len(line), instance)
	r.u16(uint16(len(line)))
	r.buf = append(r.buf, line...)
}
