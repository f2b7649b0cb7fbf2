package configfile

import (
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// Reader reads a value from a file. It stores the value or returns its problems.
type Reader func(Value) Problems

// Field is one field that an object may have.
type Field struct {
	name     string
	required bool
	read     Reader
}

// Required returns a field that must be present.
func Required(name string, read Reader) Field { return Field{name: name, required: true, read: read} }

// Optional returns a field that may be absent.
func Optional(name string, read Reader) Field { return Field{name: name, read: read} }

// Object reads an object with the given fields.
func (v Value) Object(fields ...Field) Problems {
	if !v.isPresent() {
		return nil
	}
	object, ok := v.node.Value.(*hujson.Object)
	if !ok {
		return v.Problem("is %s; want an object with %s", v.kindName(), fieldNames(fields))
	}
	var problems Problems
	seen := make(map[string]bool, len(fields))
	for _, member := range object.Members {
		problems = append(problems, v.readMember(member, fields, seen)...)
	}
	for _, field := range fields {
		if field.required && !seen[field.name] {
			problems = append(problems, v.Problem("field %s is missing", field.name)...)
		}
	}
	return problems
}

// readMember reads a member of an object and adds its name to seen.
func (v Value) readMember(member hujson.ObjectMember, fields []Field, seen map[string]bool) Problems {
	name := member.Name.Value.(hujson.Literal).String()
	path := strings.TrimPrefix(v.field+"."+name, ".")
	if seen[name] {
		return v.child(path, member.Name).Problem("the field is set twice")
	}
	seen[name] = true
	for _, field := range fields {
		if field.name == name {
			return field.read(v.child(path, member.Value))
		}
	}
	if v.ignoresUnknown {
		return nil
	}
	return v.child(path, member.Name).Problem("unknown field; want %s", fieldNames(fields))
}

func fieldNames(fields []Field) string {
	all := make([]string, len(fields))
	for i, field := range fields {
		all[i] = field.name
	}
	return strings.Join(all, ", ")
}

// Array returns a Reader that calls read for each element of an array.
func Array(read func(Value) Problems) Reader {
	return func(v Value) Problems {
		array, ok := v.node.Value.(*hujson.Array)
		if !ok {
			return v.Problem("is %s; want an array", v.kindName())
		}
		var problems Problems
		for i, element := range array.Elements {
			problems = append(problems, read(v.child(fmt.Sprintf("%s[%d]", v.field, i), element))...)
		}
		return problems
	}
}

// Object returns a Reader for an object with the given fields.
func Object(fields ...Field) Reader {
	return func(v Value) Problems { return v.Object(fields...) }
}

// RecordPosition returns a Reader that stores the position of the value, for problems that are found after reading, and then
// calls read.
func RecordPosition(at *Position, read Reader) Reader {
	return func(v Value) Problems {
		*at = v.Position
		return read(v)
	}
}
