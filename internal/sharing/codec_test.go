package sharing

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chalkferry/internal/aggregation"
)

// smallMessages returns one message of each type.
func smallMessages() []message {
	entries := []aggregation.Entry{{Kind: aggregation.ByServer, ID: 7, Value: 8}}
	return []message{
		aggregation.Report{Member: 1, Incarnation: 2, Number: 3, Since: 1, Zone: "a", Keys: 1, Subscribe: 9, Entries: entries},
		aggregation.RegionSum{Aggregator: 1, Region: "west", Incarnation: 2, Number: 3, Members: 4, Heard: 0.5, Age: time.Second, Keys: 1, Entries: entries},
		aggregation.Digest{Aggregator: 1, Region: "west", Incarnation: 2, Number: 3, Keys: 1, Entries: entries,
			Regions: []aggregation.RegionState{{Region: "west", Source: 1, Members: 4, Heard: 1, Age: time.Second, Slack: 1}}},
		aggregation.Refusal{Aggregator: 1, Member: 2, Incarnation: 3},
	}
}

// TestCodec: each type of message is decoded to what was encoded; what can't be encoded is an error.
func TestCodec(t *testing.T) {
	for _, sent := range smallMessages() {
		datagram, err := encode(sent)
		if err != nil {
			t.Fatalf("%T: %v", sent, err)
		}
		received, err := decode(datagram)
		if err != nil || !reflect.DeepEqual(received, sent) {
			t.Errorf("%T: sent %+v, received %+v: %v", sent, sent, received, err)
		}
	}
	if _, err := encode(7); !errors.Is(err, errMalformed) {
		t.Errorf("a number encoded as a message: %v", err)
	}
	many := make([]aggregation.Entry, maxDatagramBytes)
	if _, err := encode(aggregation.Report{Entries: many}); !errors.Is(err, errTooLong) {
		t.Errorf("%d entries: %v", len(many), err)
	}
}

// TestDecodeErrors: datagrams that are too long, malformed or of another version are refused with that reason.
func TestDecodeErrors(t *testing.T) {
	good, err := encode(smallMessages()[0])
	if err != nil {
		t.Fatal(err)
	}
	body := cbor.RawMessage(must(cbor.Marshal(smallMessages()[0])))
	for name, c := range map[string]struct {
		datagram []byte
		want     error
	}{
		"64 KB":             {make([]byte, 64<<10), errTooLong},
		"one byte too long": {append(bytes.Clone(good), make([]byte, maxDatagramBytes+1-len(good))...), errTooLong},
		"empty":             {nil, errMalformed},
		"zeros":             {make([]byte, 1000), errMalformed},
		"trailing":          {append(bytes.Clone(good), 0), errMalformed},
		"version 1":         {must(cbor.Marshal(outgoing{Version: 1, Type: reportType, Body: body})), errOtherVersion},
		"version 3":         {must(cbor.Marshal(outgoing{Version: 3, Type: 77, Body: "of another kind"})), errOtherVersion},
		"no version":        {must(cbor.Marshal(map[int]any{1: reportType, 2: body})), errOtherVersion},
		"no body":           {must(cbor.Marshal(map[int]any{0: protocolVersion, 1: reportType})), errMalformed},
		"no such type":      {must(cbor.Marshal(outgoing{Version: protocolVersion, Type: 5, Body: body})), errMalformed},
		"another type":      {must(cbor.Marshal(outgoing{Version: protocolVersion, Type: refusalType, Body: body})), errMalformed},
		"the version twice": {[]byte{0xa3, 0, 2, 0, 2, 1, 1}, errMalformed},
		"not a map":         {[]byte{0x83, 2, 1, 0xf6}, errMalformed},
		"endless array":     {[]byte{0xa3, 0, 2, 1, 1, 2, 0x9f, 1, 1, 0xff}, errMalformed},
		"a large claim":     {[]byte{0xa3, 0, 2, 1, 1, 2, 0x9a, 0xff, 0xff, 0xff, 0xff}, errMalformed},
		"deep":              {append([]byte{0xa3, 0, 2, 1, 1, 2}, bytes.Repeat([]byte{0x81}, 1000)...), errMalformed},
	} {
		if content, err := decode(c.datagram); !errors.Is(err, c.want) || content != nil {
			t.Errorf("%s: message %v, error %v, want error %v", name, content, err, c.want)
		}
	}
	for size := range len(good) {
		if _, err := decode(good[:size]); !errors.Is(err, errMalformed) {
			t.Errorf("truncated to %d bytes: error %v", size, err)
		}
	}
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err) // can't happen: the input is constant
	}
	return value
}

// FuzzDecode: for any input decode returns either a message that can be encoded again, or one of its documented errors.
func FuzzDecode(f *testing.F) {
	for _, content := range smallMessages() {
		datagram, err := encode(content)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(datagram)
		f.Add(datagram[:len(datagram)/2])
	}
	f.Add([]byte{})
	f.Add([]byte{0xa3, 0, 2, 1, 1, 2, 0x9a, 0xff, 0xff, 0xff, 0xff})
	f.Add(bytes.Repeat([]byte{0x81}, 300))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		content, err := decode(datagram)
		if err != nil {
			if !errors.Is(err, errTooLong) && !errors.Is(err, errMalformed) && !errors.Is(err, errOtherVersion) {
				t.Errorf("error without a known reason: %v", err)
			}
			return
		}
		if _, err := encode(content); err != nil && !errors.Is(err, errTooLong) {
			t.Errorf("%+v can't be encoded: %v", content, err)
		}
	})
}
