package sharing

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"chalkferry/internal/aggregation"
)

// protocolVersion is the version in all datagrams. Version 1 was that of an earlier protocol, in which proxies sent
// reports directly to each other.
const protocolVersion = 2

// maxDatagramBytes is the largest size of a datagram's payload. It fits into one packet on any network path.
const maxDatagramBytes = aggregation.MaxDatagramBytes

// Reasons for dropping a datagram before its message is handled. They are reason codes in the log.
var (
	errTooLong       = errors.New("too long")
	errMalformed     = errors.New("malformed")
	errOtherVersion  = errors.New("other version")
	errUnknownSender = errors.New("unknown sender")
)

// messageType is the type of the message in a datagram's body.
type messageType uint8

const (
	reportType messageType = iota + 1
	regionSumType
	digestType
	refusalType
)

// envelope is a whole received datagram: a CBOR map with small integers as keys. Later versions may add keys.
type envelope struct {
	Version uint            `cbor:"0,keyasint"`
	Type    messageType     `cbor:"1,keyasint"`
	Body    cbor.RawMessage `cbor:"2,keyasint"`
}

// outgoing is an envelope to be encoded. The body is encoded in place, without an intermediate copy.
type outgoing struct {
	Version uint        `cbor:"0,keyasint"`
	Type    messageType `cbor:"1,keyasint"`
	Body    any         `cbor:"2,keyasint"`
}

// message is the body of a datagram: an aggregation.Report, RegionSum, Digest or Refusal.
type message any

// maxArrayElements is above the length of any array in a message, as an entry takes at least four bytes.
const maxArrayElements = maxDatagramBytes / 4

var decodeMode = mustMode(cbor.DecOptions{
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
	MaxArrayElements: maxArrayElements,
	MaxMapPairs:      16, // the smallest limit that the library allows
	MaxNestedLevels:  8,
}.DecMode())

func mustMode(mode cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err) // can't happen: the options are constant
	}
	return mode
}

// encode returns the datagram of a message. Its errors wrap errTooLong or errMalformed.
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

// decode returns the message in a datagram. Its errors wrap errTooLong, errMalformed or errOtherVersion.
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
