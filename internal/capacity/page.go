package capacity

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// The part of a page between the two markers is what Table prints.
const (
	pageBegin = "<!-- capacity: begin; printed by `chalkferry capacity`, not to be edited -->\n"
	pageEnd   = "<!-- capacity: end -->\n"
)

var errNoMarkers = errors.New("the page does not have the two markers")

// PagePart is what stands between the markers of a page.
func PagePart(page string) (string, error) {
	_, rest, found := strings.Cut(page, pageBegin)
	part, _, ended := strings.Cut(rest, pageEnd)
	if !found || !ended {
		return "", errNoMarkers
	}
	return part, nil
}

// RenewPage writes the table between the markers of a page.
func RenewPage(name string, size *Size, slopes *Slopes) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	before, rest, found := strings.Cut(string(text), pageBegin)
	_, after, ended := strings.Cut(rest, pageEnd)
	if !found || !ended {
		return fmt.Errorf("%s: %w", name, errNoMarkers)
	}
	var table strings.Builder
	if err := Table(&table, size, slopes); err != nil {
		return err
	}
	return os.WriteFile(name, []byte(before+pageBegin+table.String()+pageEnd+after), 0o644)
}
