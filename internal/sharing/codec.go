package sharing

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"chalkferry/internal/aggregation"
)

// protocolVersion is that of all datagrams. The flat reports that proxies sent to each other before had 1.
const protocolVersion = 2

// maxDatagramBytes fits one packet on any network path.
const maxDatagramBytes = aggregation.MaxDatagramBytes

// Reasons why a datagram is dropped before its content is looked at.
var (
	errTooLong       = errors.New("too long")
	errMalformed     = errors.New("malformed")
	errOtherVersion  = errors.New("other version")
	errUnknownSender = errors.New("unknown sender")
)

// messageType says what the body of a datagram is.
type messageType uint8

const (
	reportType messageType = iota + 1
	regionSumType
	digestType
	refusalType
)

// envelope is the whole datagram: a CBOR map with small numbers as keys. A later version may add some.
type envelope struct {
	Version uint            `cbor:"0,keyasint"`
	Type    messageType     `cbor:"1,keyasint"`
	Body    cbor.RawMessage `cbor:"2,keyasint"`
}

// outgoing is envelope for encoding, without a copy of the body.
type outgoing struct {
	Version uint        `cbor:"0,keyasint"`
	Type    messageType `cbor:"1,keyasint"`
	Body    any         `cbor:"2,keyasint"`
}

// message is the body of a datagram: one of aggregation.Report, RegionSum, Digest and Refusal.
type message any

// Every array of a message has fewer elements than this: an entry takes at least four bytes.
const maxArrayElements = maxDatagramBytes / 4

var decodeMode = mustMode(cbor.DecOptions{
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
	MaxArrayElements: maxArrayElements,
	MaxMapPairs:      16, // the least that the library allows
	MaxNestedLevels:  8,
}.DecMode())

func mustMode(mode cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err) // constant options
	}
	return mode
}

// encode makes a datagram of a message.
func encode(content message) ([]byte, error) {
	kind, err := typeOf(content)
	if err != nil {
		return nil, err
	}
	datagram, err := cbor.Marshal(outgoing{Version: protocolVersion, Type: kind, Body: content})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if len(datagram) > maxDatagramBytes {
		return nil, fmt.Errorf("%w: %d bytes", errTooLong, len(datagram))
	}
	return datagram, nil
}

func typeOf(content message) (messageType, error) {
	switch content.(type) {
	case aggregation.Report:
		return reportType, nil
	case aggregation.RegionSum:
		return regionSumType, nil
	case aggregation.Digest:
		return digestType, nil
	case aggregation.Refusal:
		return refusalType, nil
	}
	return 0, fmt.Errorf("%w: a message of type %T", errMalformed, content)
}

// decode reads a datagram. Its errors are errTooLong, errMalformed and errOtherVersion, wrapped.
func decode(datagram []byte) (message, error) {
	if len(datagram) > maxDatagramBytes {
		return nil, errTooLong
	}
	var e envelope
	if err := decodeMode.Unmarshal(datagram, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if e.Version != protocolVersion {
		return nil, fmt.Errorf("%w: %d", errOtherVersion, e.Version)
	}
	switch e.Type {
	case reportType:
		return decodeBody[aggregation.Report](e.Body)
	case regionSumType:
		return decodeBody[aggregation.RegionSum](e.Body)
	case digestType:
		return decodeBody[aggregation.Digest](e.Body)
	case refusalType:
		return decodeBody[aggregation.Refusal](e.Body)
	}
	return nil, fmt.Errorf("%w: a message of type %d", errMalformed, e.Type)
}

func decodeBody[T any](body []byte) (message, error) {
	var content T
	if err := decodeMode.Unmarshal(body, &content); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return content, nil
}
