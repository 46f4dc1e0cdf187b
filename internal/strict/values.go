package strict

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// entry is a key or table of a TOML text.
type entry struct {
	path  string         // from the root; tables of an array have an index, as in "fault[2].at"
	names []string       // of path, without indexes
	line  int            // from 1
	value *unstable.Node // nil for a table; valid only during the visit
}

// eachEntry visits the keys and tables of a valid TOML text in their order.
func eachEntry(text []byte, visit func(entry)) {
	var table entry // the current one; without a path for the root
	tableCounts := map[string]int{}
	var parser unstable.Parser
	parser.Reset(text)
	for parser.NextExpression() {
		expression := parser.Expression()
		var names []string
		line := 0
		for it := expression.Key(); it.Next(); {
			if line == 0 {
				line = parser.Shape(it.Node().Raw).Start.Line
			}
			names = append(names, string(it.Node().Data))
		}
		path := strings.Join(names, ".")
		switch expression.Kind {
		case unstable.ArrayTable:
			index := tableCounts[path]
			tableCounts[path]++
			table = entry{path: fmt.Sprintf("%s[%d]", path, index), names: names, line: line}
			visit(table)
		case unstable.Table:
			table = entry{path: path, names: names, line: line}
			visit(table)
		case unstable.KeyValue:
			if table.path != "" {
				path = table.path + "." + path
			}
			names = append(table.names[:len(table.names):len(table.names)], names...)
			visit(entry{path: path, names: names, line: line, value: expression.Value()})
		}
	}
}

// checkValues returns an error for the first value that the TOML library has accepted and no file should have: a bare number for
// a Span, which it takes for nanoseconds, and infinities and NaN, which pass comparisons with the limits of a range.
func (f *File) checkValues(text []byte, target any) (err error) {
	eachEntry(text, func(e entry) {
		if err != nil || e.value == nil {
			return
		}
		fieldType := reflect.TypeOf(target)
		for _, name := range e.names {
			fieldType = memberType(fieldType, name)
		}
		if problem := findProblem(e.value, fieldType); problem != "" {
			err = f.Errorf(e.path, "%s", problem)
		}
	})
	return err
}

// findProblem returns what is wrong with a value for a field of a type, or "".
func findProblem(value *unstable.Node, fieldType reflect.Type) string {
	switch value.Kind {
	case unstable.Array:
		for it := value.Children(); it.Next(); {
			if problem := findProblem(it.Node(), fieldType); problem != "" {
				return problem
			}
		}
	case unstable.InlineTable:
		for it := value.Children(); it.Next(); {
			inner := fieldType
			for key := it.Node().Key(); key.Next(); {
				inner = memberType(inner, string(key.Node().Data))
			}
			if problem := findProblem(it.Node().Value(), inner); problem != "" {
				return problem
			}
		}
	case unstable.Integer:
		if elementType(fieldType) == reflect.TypeFor[Span]() {
			return "must have a unit, as in \"1.5s\""
		}
	case unstable.Float:
		switch text := string(value.Data); {
		case strings.HasSuffix(text, "nan"):
			return "NaN is not a finite number"
		case strings.HasSuffix(text, "inf"):
			return text + " is not a finite number"
		}
	}
	return ""
}

// elementType returns the type of the values that a pointer, slice, array or map holds, through all levels, and any other type
// itself.
func elementType(t reflect.Type) reflect.Type {
	for t != nil {
		switch t.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
			t = t.Elem()
		default:
			return t
		}
	}
	return nil
}

// memberType returns the type of what a key stands for in a value of type t, by the rules of the TOML library: a field by its tag or
// by its name without regard to case, or a value of a map. It is nil if there is none.
func memberType(t reflect.Type, key string) reflect.Type {
	for t != nil && (t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Array) {
		t = t.Elem()
	}
	if t == nil {
		return nil
	}
	switch t.Kind() {
	case reflect.Map:
		return t.Elem()
	case reflect.Struct:
		for _, field := range reflect.VisibleFields(t) {
			name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
			if name == "" {
				name = field.Name
			}
			if strings.EqualFold(name, key) {
				return field.Type
			}
		}
	}
	return nil
}
