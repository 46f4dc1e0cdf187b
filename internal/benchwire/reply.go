package benchwire

import (
	"encoding/binary"
	"io"
	"math"
	"time"

	"chalkferry/choice"
)

// Reply collects the actions that the instances answer to one batch.
type Reply struct {
	buf   []byte // header and records
	count uint32 // records
}

// Reset empties the reply and sets the number of the batch that it answers.
func (r *Reply) Reset(batchNumber uint32) {
	r.buf = append(r.buf[:0], make([]byte, replyHeaderSize)...)
	binary.LittleEndian.PutUint32(r.buf[8:], batchNumber)
	r.count = 0
}

// WriteTo completes the header and writes the reply to w.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.LittleEndian.PutUint32(r.buf, r.count)
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)-replyHeaderSize))
	n, err := w.Write(r.buf)
	return int64(n), err
}

// beginRecord appends the header of a record and its first field, the instance. size counts the bytes of all fields.
func (r *Reply) beginRecord(code byte, size int, instance InstanceID) {
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

// Dial starts a session's next dial, to a server, with a timeout.
func (r *Reply) Dial(instance InstanceID, id choice.SessionID, server choice.ServerID, timeout time.Duration) {
	r.beginRecord(codeDial, 18, instance)
	r.u32(uint32(id))
	r.duration(timeout)
	r.u32(uint32(server))
}

// Refuse refuses a session and advises its client to retry after retryAfter.
func (r *Reply) Refuse(instance InstanceID, id choice.SessionID, retryAfter time.Duration) {
	r.beginRecord(codeRefuse, 14, instance)
	r.u32(uint32(id))
	r.duration(retryAfter)
}

// Abort ends a session as failed; it may have run.
func (r *Reply) Abort(instance InstanceID, id choice.SessionID) {
	r.beginRecord(codeAbort, 6, instance)
	r.u32(uint32(id))
}

// Move closes an open session and asks its client to reconnect.
func (r *Reply) Move(instance InstanceID, id choice.SessionID) {
	r.beginRecord(codeMove, 6, instance)
	r.u32(uint32(id))
}

// StartTimer asks for a CodeTimerFired event with the token after a time.
func (r *Reply) StartTimer(instance InstanceID, after time.Duration, token choice.TimerToken) {
	r.beginRecord(codeStartTimer, 14, instance)
	r.duration(after)
	r.u32(uint32(token))
}

// SubscribeList subscribes the instance to the list of servers.
func (r *Reply) SubscribeList(instance InstanceID) {
	r.beginRecord(codeSubscribeList, 3, instance)
	r.buf = append(r.buf, 1)
}

// PublishOverload sends a delay report to all other proxies.
func (r *Reply) PublishOverload(instance InstanceID, server choice.ServerID, delay time.Duration) {
	r.beginRecord(codePublishOverload, 2+2+2+DelayReportSize, instance)
	r.u16(allPeers)
	r.u16(DelayReportSize)
	r.buf = AppendDelayReport(r.buf, server, delay)
}

// Log writes a line to the instance's log. A line above 65535 bytes is cut.
func (r *Reply) Log(instance InstanceID, line string) {
	line = line[:min(len(line), math.MaxUint16)]
	r.beginRecord(codeLog, 4+len(line), instance)
	r.u16(uint16(len(line)))
	r.buf = append(r.buf, line...)
}
