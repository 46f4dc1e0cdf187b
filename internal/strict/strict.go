// Package strict reads TOML files in which every key must be known, and reports errors with their line. What values are
// valid is the caller's to decide.
package strict

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// File is a TOML text that was read, with the place of each of its keys.
type File struct {
	Name  string
	lines map[string]int
}

// Error is what is wrong with a file, and where. Its text is "file:line: message".
type Error struct {
	File string
	Line int // from 1; 0 where the whole file is meant
	Text string
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Text)
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text)
}

// Read reads the named file into a value, as Parse does.
func Read(name string, into any) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text, into)
}

// Parse decodes a text into a value. A key that the value has no field for is an *Error, as is a value that the
// field's type refuses.
func Parse(name string, text []byte, into any) (*File, error) {
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		var unknown *toml.StrictMissingError
		var invalid *toml.DecodeError
		switch {
		case errors.As(err, &unknown) && len(unknown.Errors) > 0:
			row, _ := unknown.Errors[0].Position()
			return nil, &Error{name, row, fmt.Sprintf("unknown key %q", strings.Join(unknown.Errors[0].Key(), "."))}
		case errors.As(err, &invalid):
			row, _ := invalid.Position()
			return nil, &Error{name, row, strings.TrimPrefix(invalid.Error(), "toml: ")}
		}
		return nil, &Error{name, 0, strings.TrimPrefix(err.Error(), "toml: ")}
	}
	return &File{Name: name, lines: keyLines(text)}, nil
}

// Wrong returns an *Error for the value at a path such as "fault[2].at". Where the file does not have the key, the
// line is that of the nearest table around it.
func (f *File) Wrong(path, format string, args ...any) error {
	line := 0
	for at := path; line == 0 && at != ""; {
		line = f.lines[at]
		cut := strings.LastIndexAny(at, ".[")
		if cut < 0 {
			break
		}
		at = at[:cut]
	}
	return &Error{f.Name, line, fmt.Sprintf("%s: %s", path, fmt.Sprintf(format, args...))}
}

// keyLines returns the line of each key and table of a text that has been decoded.
func keyLines(text []byte) map[string]int {
	lines, counts, table := map[string]int{}, map[string]int{}, ""
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		var names []string
		line := 0
		for it := e.Key(); it.Next(); {
			if line == 0 {
				line = p.Shape(it.Node().Raw).Start.Line
			}
			names = append(names, string(it.Node().Data))
		}
		path := strings.Join(names, ".")
		switch e.Kind {
		case unstable.ArrayTable:
			n := counts[path]
			counts[path]++
			table = fmt.Sprintf("%s[%d]", path, n)
			lines[table] = line
		case unstable.Table:
			table = path
			lines[table] = line
		case unstable.KeyValue:
			if table != "" {
				path = table + "." + path
			}
			lines[path] = line
		}
	}
	return lines
}

// Span is a duration in a file, such as "1.5s" or "200ms".
type Span time.Duration

// UnmarshalText reads what time.ParseDuration does.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}

// D is the span as a time.Duration.
func (s Span) D() time.Duration { return time.Duration(s) }

func (s Span) String() string { return time.Duration(s).String() }
