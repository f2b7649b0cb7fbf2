// Package configfile reads JSON files with comments and reports all problems at once, each with its file, line, column and
// field. It is used for the settings file and the tables files.
//
// # Usage
//
// An object is described by a list of fields. Each field has a Reader that stores the value or returns its problems:
//
//	value, problems := configfile.Parse("settings.json", content)
//	problems = append(problems, value.Object(
//		configfile.Required("Node", configfile.Text(&s.Node)),
//		configfile.Optional("LogLevel", configfile.OneOf(&s.LogLevel, "debug", "info")),
//	)...)
//	return s, problems.Err()
//
// Unknown, duplicate and missing fields are problems; Value.WithUnknownIgnored accepts unknown ones.
package configfile

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// maxContainers bounds the number of arrays and objects in a file. This also bounds their nesting: the parser is recursive,
// and a stack of more than 1 GB ends the process. Both tables of the design size have 9,340 arrays and objects.
const maxContainers = 100_000

// Value is a value in a file. The zero Value is absent: it has no fields and no problems.
type Value struct {
	Position
	node hujson.Value
	// ignoresUnknown is true if unknown fields are no problems.
	ignoresUnknown bool
}

// WithUnknownIgnored returns the value without problems for unknown fields in it and in the values below it. It is meant for content
// that a program of a later version may have written.
func (v Value) WithUnknownIgnored() Value {
	v.ignoresUnknown = true
	return v
}

// Position is the position of a value in a file. It does not reference the parsed value, so that the value can be freed.
type Position struct {
	file string
	// lineOffsets holds the offsets at which the file's lines start, so that finding a line does not scan the file for every
	// problem.
	lineOffsets []int
	offset      int
	field       string
}

// Parse parses the content of a file.
func Parse(file string, content []byte) (Value, Problems) { return ParseField(file, "", content) }

// ParseField parses the content of one field of a file. Lines and columns are relative to the start of the field.
func ParseField(file, field string, content []byte) (Value, Problems) {
	v := Value{Position: Position{file: file, lineOffsets: findLineOffsets(content), field: field}}
	if bytes.Count(content, []byte("["))+bytes.Count(content, []byte("{")) > maxContainers {
		return Value{}, v.Problem("more than %d arrays and objects", maxContainers)
	}
	node, err := hujson.Parse(content)
	if err != nil {
		p := syntaxProblem(file, err)
		p.Field = field
		return Value{}, Problems{p}
	}
	return v.child(field, node), nil
}

func findLineOffsets(content []byte) []int {
	offsets := []int{0}
	for i, b := range content {
		if b == '\n' {
			offsets = append(offsets, i+1)
		}
	}
	return offsets
}

// syntaxProblem extracts the position from the text of the parser's error, which has no type of its own.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Line: 1, Column: 1, Detail: err.Error()}
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &p.Line, &p.Column); scanErr == nil {
		parts := strings.SplitN(err.Error(), ": ", 3)
		p.Detail = "not JSON with comments: " + parts[len(parts)-1]
	}
	return p
}

// Problem returns a list of one problem at the position. An absent value has no position.
func (p Position) Problem(format string, args ...any) Problems {
	if len(p.lineOffsets) == 0 {
		return Problems{{File: p.file, Field: p.field, Detail: fmt.Sprintf(format, args...)}}
	}
	line, found := slices.BinarySearch(p.lineOffsets, p.offset)
	if found {
		line++
	}
	return Problems{{
		File:   p.file,
		Line:   line,
		Column: 1 + p.offset - p.lineOffsets[line-1],
		Field:  p.field,
		Detail: fmt.Sprintf(format, args...),
	}}
}

// isPresent reports whether the value exists in a file.
func (v Value) isPresent() bool { return v.node.Value != nil }

// child returns a Value for a node inside v. field is its path in the file.
func (v Value) child(field string, node hujson.Value) Value {
	position := Position{file: v.file, lineOffsets: v.lineOffsets, offset: node.StartOffset, field: field}
	return Value{Position: position, node: node, ignoresUnknown: v.ignoresUnknown}
}

// literal returns the value if it is a literal of one of the given kinds, such as "tf" for the hujson kinds of true and false.
func (v Value) literal(kinds string) (hujson.Literal, bool) {
	literal, ok := v.node.Value.(hujson.Literal)
	if !ok || !strings.ContainsRune(kinds, rune(literal.Kind())) {
		return nil, false
	}
	return literal, true
}

// kindName describes the kind of the value in the detail of a problem.
func (v Value) kindName() string {
	switch v.node.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	default:
		return "a boolean"
	}
}
