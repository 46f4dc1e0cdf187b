package benchwire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"chalkferry/choice"
)

const (
	// DelayReportSize is the size of a delay report, a message between proxies: a server's id, and the delay of its messages
	// in milliseconds.
	DelayReportSize = 6
	// FullMessage is the size of a message that costs the full price.
	FullMessage = 256
	// allPeers is the destination of a message to all other proxies.
	allPeers = 0xffff
)

// AppendDelayReport appends a delay report.
func AppendDelayReport(dst []byte, server choice.ServerID, delay time.Duration) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, uint32(server))
	return binary.LittleEndian.AppendUint16(dst, uint16(min(delay/time.Millisecond, math.MaxUint16)))
}

// ParseDelayReport reads a delay report of another proxy's.
func ParseDelayReport(data []byte) (server choice.ServerID, delay time.Duration, err error) {
	if len(data) != DelayReportSize {
		return 0, 0, fmt.Errorf("%d bytes", len(data))
	}
	server = choice.ServerID(binary.LittleEndian.Uint32(data))
	return server, time.Duration(binary.LittleEndian.Uint16(data[4:])) * time.Millisecond, nil
}

// WordSize is DelayReportSize, by the name that internal/start still uses.
const WordSize = DelayReportSize

// AppendWord is AppendDelayReport, by the name that internal/proxy still uses.
func AppendWord(dst []byte, server choice.ServerID, delay time.Duration) []byte {
	return AppendDelayReport(dst, server, delay)
}

// Word is ParseDelayReport, by the name that internal/proxy still uses.
func Word(data []byte) (server choice.ServerID, delay time.Duration, err error) {
	return ParseDelayReport(data)
}
