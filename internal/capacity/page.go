package capacity

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// The markers of a page. Table prints the text between them.
const (
	pageBegin = "<!-- capacity: begin; printed by `chalkferry capacity`, not to be edited -->\n"
	pageEnd   = "<!-- capacity: end -->\n"
)

var errNoMarkers = errors.New("the page lacks the begin or the end marker of the capacity table")

// TableOfPage returns the text between the markers of a page.
func TableOfPage(page string) (string, error) {
	_, afterBegin, hasBegin := strings.Cut(page, pageBegin)
	part, _, hasEnd := strings.Cut(afterBegin, pageEnd)
	if !hasBegin || !hasEnd {
		return "", errNoMarkers
	}
	return part, nil
}

// UpdatePage replaces the text between the markers of a page with the table.
func UpdatePage(name string, size *Size, slopes *Slopes) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	before, afterBegin, hasBegin := strings.Cut(string(text), pageBegin)
	_, after, hasEnd := strings.Cut(afterBegin, pageEnd)
	if !hasBegin || !hasEnd {
		return fmt.Errorf("%s: %w", name, errNoMarkers)
	}
	var table strings.Builder
	if err := Table(&table, size, slopes); err != nil {
		return err
	}
	return os.WriteFile(name, []byte(before+pageBegin+table.String()+pageEnd+after), 0o644)
}
