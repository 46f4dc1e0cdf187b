// Package strict reads TOML files in which every key must be known, and reports errors with file name and line. It does
// not decide which values are valid: the caller does, and reports invalid ones with File.Errorf.
package strict

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// File is a decoded TOML file. It has the position of each of its keys, for error messages.
type File struct {
	Name  string
	lines map[string]int // line, from 1, of each key and table by its path, such as "fault[2].at"
}

// Error is an error in a file, with its position. Its text is "file:line: message".
type Error struct {
	File string
	Line int // from 1; 0 if the error is about the whole file
	Text string
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Text)
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text)
}

// Read decodes the named file into target, as Parse does. If the file can't be read, the error is that of os.ReadFile.
func Read(name string, target any) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text, target)
}

// Parse decodes a TOML text into target, a pointer to a struct. name is the file name for errors. Invalid TOML, a key
// without a field in target, a value that does not fit its field's type, a Span without a unit and a number that is not finite
// are returned as *Error.
func Parse(name string, text []byte, target any) (*File, error) {
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
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
	file := &File{Name: name, lines: keyLines(text)}
	if err := file.checkValues(text, target); err != nil {
		return nil, err
	}
	return file, nil
}

// Errorf returns an *Error for the value at a path such as "fault[2].at", with a message that begins with the path. If
// the file does not have the key, the line is that of the nearest enclosing table, or 0 if there is none.
func (f *File) Errorf(path, format string, args ...any) error {
	line := 0
	for prefix := path; line == 0 && prefix != ""; {
		line = f.lines[prefix]
		end := strings.LastIndexAny(prefix, ".[")
		if end < 0 {
			break
		}
		prefix = prefix[:end]
	}
	return &Error{f.Name, line, fmt.Sprintf("%s: %s", path, fmt.Sprintf(format, args...))}
}

// keyLines returns the line, from 1, of each key and table of a valid TOML text by its path.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	eachEntry(text, func(e entry) { lines[e.path] = e.line })
	return lines
}

// Span is a duration that is written as text in a file or on the command line, such as "1.5s" or "200ms". The name of the
// type is visible to users: it is the placeholder SPAN of flags in the help text.
type Span time.Duration

// UnmarshalText parses a duration in the format of time.ParseDuration.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}

// D returns the duration as a time.Duration.
func (s Span) D() time.Duration { return time.Duration(s) }

func (s Span) String() string { return time.Duration(s).String() }
