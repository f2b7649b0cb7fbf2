package peer

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// packFields packs values into one header value, separated by spaces. Spaces within a value are escaped.
func packFields(values ...string) string {
	escaped := make([]string, len(values))
	for i, value := range values {
		escaped[i] = strings.ReplaceAll(url.PathEscape(value), "%2F", "/")
	}
	return strings.Join(escaped, " ")
}

// field is one field of a packed header, or the whole value of any other header.
type field struct{ name, value string }

// headerDecoder decodes headers and keeps the first error.
type headerDecoder struct {
	header http.Header
	err    error
}

func (d *headerDecoder) fail(f field, want string) {
	if d.err == nil {
		d.err = fmt.Errorf("header %s is malformed: %s", f.name, want)
	}
}

// optionalValue returns the value of a header, or "" if the header is absent or malformed.
func (d *headerDecoder) optionalValue(name string) string {
	values := d.header.Values(name)
	if len(values) == 0 {
		return ""
	}
	if len(values) > 1 {
		d.fail(field{name: name}, "want one value")
		return ""
	}
	if len(values[0]) > maxNameBytes {
		d.fail(field{name: name}, fmt.Sprintf("want at most %d bytes", maxNameBytes))
		return ""
	}
	return values[0]
}

// unpack splits a packed header into the named fields. It always returns one field per name, with empty values if the header is
// malformed.
func (d *headerDecoder) unpack(name string, names ...string) []field {
	fields := make([]field, len(names))
	for i, fieldName := range names {
		fields[i].name = name + " " + fieldName
	}
	values := d.header.Values(name)
	if len(values) != 1 {
		d.fail(field{name: name}, "want one value")
		return fields
	}
	escaped := strings.Split(values[0], " ")
	if len(escaped) != len(names) {
		d.fail(field{name: name}, fmt.Sprintf("want %d fields", len(names)))
		return fields
	}
	for i := range fields {
		value, err := url.PathUnescape(escaped[i])
		if err != nil {
			d.fail(fields[i], err.Error())
		}
		fields[i].value = value
	}
	return fields
}

// requiredName decodes a name, which must not be empty.
func (d *headerDecoder) requiredName(f field) string {
	if f.value == "" {
		d.fail(f, "want a value")
	}
	if len(f.value) > maxNameBytes {
		d.fail(f, fmt.Sprintf("want at most %d bytes", maxNameBytes))
		return ""
	}
	return f.value
}

func (d *headerDecoder) class(f field) fleet.Class {
	class, err := fleet.ParseClass(f.value)
	if err != nil {
		d.fail(f, "want Lookup, Internal or Order")
	}
	return class
}

func (d *headerDecoder) health(f field) fleet.Health {
	health, err := fleet.ParseHealth(f.value)
	if err != nil {
		// A node of a later version may know other ways to be unhealthy.
		return fleet.Faulty
	}
	return health
}

func (d *headerDecoder) boolean(f field) bool {
	switch f.value {
	case "true":
		return true
	case "false":
		return false
	default:
		d.fail(f, "want true or false")
		return false
	}
}

func (d *headerDecoder) number(f field, base int) uint64 {
	value, err := strconv.ParseUint(f.value, base, 64)
	if err != nil {
		d.fail(f, fmt.Sprintf("want a number in base %d", base))
	}
	return value
}

// relativeTime decodes a time that is encoded in milliseconds from now, negative if it has passed. It returns the zero time for
// noGoal.
func (d *headerDecoder) relativeTime(f field, now time.Time) time.Time {
	if f.value == noGoal {
		return time.Time{}
	}
	value, err := strconv.ParseInt(f.value, 10, 64)
	if err != nil || value > maxTimeLeft.Milliseconds() || value < -maxTimeLeft.Milliseconds() {
		d.fail(f, "want a number of milliseconds within an hour")
		return time.Time{}
	}
	return now.Add(time.Duration(value) * time.Millisecond)
}

func (d *headerDecoder) duration(f field, unit, limit time.Duration) time.Duration {
	value := d.number(f, 10)
	if value > uint64(limit/unit) {
		d.fail(f, fmt.Sprintf("want at most %d", limit/unit))
		return 0
	}
	return time.Duration(value) * unit
}
