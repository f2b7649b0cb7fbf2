// Package configfile reads JSON files with comments and reports every problem at once, each with its file, line, column
// and field. The settings file and the tables files share it.
//
// # Usage
//
// A caller describes an object as a list of fields. Each field has a read function that stores the value or returns what
// is wrong with it:
//
//	value, problems := configfile.Parse("settings.json", content)
//	problems = append(problems, value.Object(
//		configfile.Required("Node", configfile.Text(&s.Node)),
//		configfile.Optional("LogLevel", configfile.OneOf(&s.LogLevel, "Debug", "Info")),
//	)...)
//	return s, problems.Err()
//
// Unknown, repeated and missing fields are problems.
package configfile

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// maxValues bounds the arrays and objects of one file. It also bounds their nesting, since the parser is recursive and a
// stack of more than 1 GB ends the process. The design size needs 9,340 in both tables.
const maxValues = 100_000

// Value is one value of a file. The zero Value is absent: it has no fields and no problems.
type Value struct {
	file    string
	content []byte
	field   string
	node    hujson.Value
}

// Parse parses the content of a file.
func Parse(file string, content []byte) (Value, Problems) {
	v := Value{file: file, content: content}
	if bytes.Count(content, []byte("["))+bytes.Count(content, []byte("{")) > maxValues {
		return Value{}, v.Problem("more than %d arrays and objects", maxValues)
	}
	node, err := hujson.Parse(content)
	if err != nil {
		return Value{}, Problems{syntaxProblem(file, err)}
	}
	v.node = node
	return v, nil
}

// syntaxProblem takes the position out of the parser's error, which has no type of its own.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Line: 1, Column: 1, Detail: err.Error()}
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &p.Line, &p.Column); scanErr == nil {
		parts := strings.SplitN(err.Error(), ": ", 3)
		p.Detail = "not JSON with comments: " + parts[len(parts)-1]
	}
	return p
}

// Problem returns one problem at the value.
func (v Value) Problem(format string, args ...any) Problems {
	before := v.content[:min(max(v.node.StartOffset, 0), len(v.content))]
	return Problems{{
		File:   v.file,
		Line:   1 + bytes.Count(before, []byte("\n")),
		Column: len(before) - bytes.LastIndexByte(before, '\n'),
		Field:  v.field,
		Detail: fmt.Sprintf(format, args...),
	}}
}

// present reports whether the value stands in a file.
func (v Value) present() bool { return v.node.Value != nil }

// child returns a value inside v.
func (v Value) child(field string, node hujson.Value) Value {
	return Value{file: v.file, content: v.content, field: field, node: node}
}

// literal returns the value as a literal of the given kind.
func (v Value) literal(kinds string) (hujson.Literal, bool) {
	literal, ok := v.node.Value.(hujson.Literal)
	if !ok || !strings.ContainsRune(kinds, rune(literal.Kind())) {
		return nil, false
	}
	return literal, true
}

// kind names the kind of the value for messages.
func (v Value) kind() string {
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
