package benchwire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"chalkferry/choice"
)

const (
	// DelayReportSize is the size in bytes of a delay report, a message between proxies: a server's id (4 bytes) and the
	// delay of its messages in milliseconds (2 bytes).
	DelayReportSize = 6
	// FullMessageSize is the size in bytes of a message that costs the full configured price. Smaller ones cost in proportion.
	FullMessageSize = 256
	// allPeers is the wire's destination number for a message to all other proxies.
	allPeers = 0xffff
)

// AppendDelayReport appends an encoded delay report to dst. A delay above 65535 ms is cut to that.
func AppendDelayReport(dst []byte, server choice.ServerID, delay time.Duration) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, uint32(server))
	return binary.LittleEndian.AppendUint16(dst, uint16(min(delay/time.Millisecond, math.MaxUint16)))
}

// ParseDelayReport decodes a delay report of another proxy. Data of another size than DelayReportSize is an error.
func ParseDelayReport(data []byte) (server choice.ServerID, delay time.Duration, err error) {
	if len(data) != DelayReportSize {
		return 0, 0, fmt.Errorf("%d bytes", len(data))
	}
	server = choice.ServerID(binary.LittleEndian.Uint32(data))
	return server, time.Duration(binary.LittleEndian.Uint16(data[4:])) * time.Millisecond, nil
}
