package sharing

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"chalkferry/internal/fleet"
)

const (
	version   = 1
	mostBytes = 1200 // of a word: it is to fit one packet on any way
	mostParts = 64   // of reports in a word
)

// Reasons why a word is passed over, as the status counts them.
var (
	errLong     = errors.New("too long")
	errUnread   = errors.New("unreadable")
	errVersion  = errors.New("other version")
	errStranger = errors.New("from no member")
)

// word is one packet. Keys are small numbers; a later version may add some, which are passed over here.
type word struct {
	Version uint           `cbor:"0,keyasint"`
	From    fleet.MemberID `cbor:"1,keyasint"`
	Reports []fleet.Report `cbor:"2,keyasint"`
}

var reader = mustDec(cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 16, MaxNestedLevels: 8}.DecMode())

func mustDec[T any](value T, err error) T {
	if err != nil {
		panic(err) // constant options
	}
	return value
}

// read takes a word from another member.
func flatRead(text []byte, me fleet.MemberID, members int) (w word, err error) {
	if len(text) > mostBytes {
		return w, errLong
	}
	if err := reader.Unmarshal(text, &w); err != nil {
		return w, fmt.Errorf("%w: %w", errUnread, err)
	}
	switch {
	case w.Version != version:
		return w, errVersion
	case w.From < 0 || int(w.From) >= members || w.From == me:
		return w, errStranger
	case len(w.Reports) > mostParts:
		return w, errLong
	}
	return w, nil
}

// fill makes a word of as many reports as fit one; it returns how many it took.
func fill(from fleet.MemberID, reports []fleet.Report) (text []byte, took int, err error) {
	w := word{Version: version, From: from}
	for took < min(len(reports), mostParts) {
		w.Reports = append(w.Reports, reports[took])
		next, err := cbor.Marshal(w)
		if err != nil {
			return nil, 0, err
		}
		if len(next) > mostBytes {
			break
		}
		text, took = next, took+1
	}
	return text, took, nil
}
