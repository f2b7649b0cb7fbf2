package peer

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// The headers that nodes add to the requests and answers between them. Callers and targets cannot set any of them.
const (
	headerPrefix      = "Jayfold-"
	headerAttempt     = "Jayfold-Attempt"
	headerTarget      = "Jayfold-Target"
	headerPool        = "Jayfold-Pool"
	headerFrom        = "Jayfold-From"
	headerClass       = "Jayfold-Class"
	headerBudget      = "Jayfold-Budget"      // milliseconds
	headerGoal        = "Jayfold-Goal"        // milliseconds; negative when it has passed
	headerBaseline    = "Jayfold-Baseline"    // microseconds
	headerFingerprint = "Jayfold-Fingerprint" // 16 hexadecimal digits
	headerIdempotent  = "Jayfold-Idempotent"
	headerCaller      = "Jayfold-Caller"
	headerKey         = "Jayfold-Key"
	headerPriority    = "Jayfold-Priority"
	headerMode        = "Jayfold-Mode" // which of the words below hold
	headerRevision    = "Jayfold-Revision"
	headerVerify      = "Jayfold-Verify"
	headerCancel      = "Jayfold-Cancel"
)

const (
	maxNameBytes = 256
	// maxBudget bounds what a peer can ask this node to remember of an attempt.
	maxBudget = time.Hour
	// maxBaseline is beyond any p95 that a pool can have.
	maxBaseline = time.Hour
	// maxPriority is the largest that a queue tells apart.
	maxPriority = 255
)

// wireAttempt is what the headers of a forwarded request say.
type wireAttempt struct {
	Attempt  fleet.Attempt
	From     fleet.NodeID
	Revision fleet.Revision
}

// encodeAttempt sets the headers of a forwarded request.
func encodeAttempt(h http.Header, wire wireAttempt, now time.Time) {
	a := wire.Attempt
	budget := max(a.Deadline.Sub(now), 0)
	h.Set(headerAttempt, string(a.ID))
	h.Set(headerTarget, string(a.Target))
	h.Set(headerPool, string(a.Pool))
	h.Set(headerFrom, string(wire.From))
	h.Set(headerClass, a.Class.String())
	h.Set(headerBudget, strconv.FormatInt(budget.Milliseconds(), 10))
	if !a.Goal.IsZero() {
		h.Set(headerGoal, strconv.FormatInt(a.Goal.Sub(now).Milliseconds(), 10))
	}
	h.Set(headerBaseline, strconv.FormatInt(a.Baseline.Microseconds(), 10))
	h.Set(headerFingerprint, fmt.Sprintf("%016x", uint64(a.Fingerprint)))
	h.Set(headerIdempotent, strconv.FormatBool(a.Idempotent))
	h.Set(headerRevision, strconv.FormatUint(uint64(wire.Revision), 10))
	h.Set(headerPriority, strconv.Itoa(a.Priority))
	if mode := modeOf(a); mode != "" {
		h.Set(headerMode, mode)
	}
	if a.Caller != "" {
		h.Set(headerCaller, string(a.Caller))
	}
	if a.Key != "" {
		h.Set(headerKey, string(a.Key))
	}
}

// The words of headerMode.
const (
	modeProbe    = "probe"
	modeTrial    = "trial"
	modeRepeated = "repeated"
	modeDerived  = "derived"
	modeForced   = "forced"
)

func modeOf(a fleet.Attempt) string {
	var words []string
	for word, holds := range map[string]bool{modeProbe: a.Probe, modeTrial: a.Trial, modeRepeated: a.Repeated, modeDerived: a.Derived, modeForced: a.Forced} {
		if holds {
			words = append(words, word)
		}
	}
	slices.Sort(words)
	return strings.Join(words, " ")
}

// decodeAttempt reads the headers of a forwarded request. Errors name the header.
func decodeAttempt(h http.Header, now time.Time) (wireAttempt, error) {
	d := headerDecoder{header: h}
	mode := strings.Fields(d.optional(headerMode))
	wire := wireAttempt{
		Attempt: fleet.Attempt{
			ID:          fleet.AttemptID(d.name(headerAttempt)),
			Target:      fleet.TargetID(d.name(headerTarget)),
			Pool:        fleet.PoolName(d.name(headerPool)),
			Class:       d.class(headerClass),
			Idempotent:  d.boolean(headerIdempotent),
			Priority:    int(min(d.number(headerPriority, 10), maxPriority)),
			Probe:       slices.Contains(mode, modeProbe),
			Trial:       slices.Contains(mode, modeTrial),
			Repeated:    slices.Contains(mode, modeRepeated),
			Derived:     slices.Contains(mode, modeDerived),
			Forced:      slices.Contains(mode, modeForced),
			Caller:      fleet.Caller(d.optional(headerCaller)),
			Deadline:    now.Add(d.duration(headerBudget, time.Millisecond, maxBudget)),
			Goal:        d.moment(headerGoal, now),
			Baseline:    d.duration(headerBaseline, time.Microsecond, maxBaseline),
			Fingerprint: fleet.Fingerprint(d.number(headerFingerprint, 16)),
			Key:         fleet.IdempotencyKey(d.optional(headerKey)),
		},
		From:     fleet.NodeID(d.name(headerFrom)),
		Revision: fleet.Revision(d.number(headerRevision, 10)),
	}
	if id := wire.Attempt.ID; d.err == nil && (id.Request() == "" || string(id.Request()) == string(id)) {
		d.fail(headerAttempt, "want a request id, a dot and a number")
	}
	wire.Attempt.Node = wire.Attempt.Target.Node()
	return wire, d.err
}

// headerDecoder reads headers and keeps the first error.
type headerDecoder struct {
	header http.Header
	err    error
}

func (d *headerDecoder) fail(name, want string) {
	if d.err == nil {
		d.err = fmt.Errorf("header %s is malformed: %s", name, want)
	}
}

// optional returns the value of a header that may be absent.
func (d *headerDecoder) optional(name string) string {
	values := d.header.Values(name)
	if len(values) == 0 {
		return ""
	}
	if len(values) > 1 {
		d.fail(name, "want one value")
		return ""
	}
	if len(values[0]) > maxNameBytes {
		d.fail(name, fmt.Sprintf("want at most %d bytes", maxNameBytes))
		return ""
	}
	return values[0]
}

func (d *headerDecoder) name(name string) string {
	value := d.optional(name)
	if value == "" {
		d.fail(name, "want a value")
	}
	return value
}

func (d *headerDecoder) class(name string) fleet.Class {
	class, err := fleet.ParseClass(d.name(name))
	if err != nil {
		d.fail(name, "want Lookup, Internal or Order")
	}
	return class
}

func (d *headerDecoder) boolean(name string) bool {
	switch d.name(name) {
	case "true":
		return true
	case "false":
		return false
	default:
		d.fail(name, "want true or false")
		return false
	}
}

func (d *headerDecoder) number(name string, base int) uint64 {
	value, err := strconv.ParseUint(d.name(name), base, 64)
	if err != nil {
		d.fail(name, fmt.Sprintf("want a number in base %d", base))
	}
	return value
}

// moment reads a time, given in milliseconds from now, that may have passed. It is zero when the header is absent.
func (d *headerDecoder) moment(name string, now time.Time) time.Time {
	text := d.optional(name)
	if text == "" {
		return time.Time{}
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value > maxBudget.Milliseconds() || value < -maxBudget.Milliseconds() {
		d.fail(name, "want a number of milliseconds within an hour")
		return time.Time{}
	}
	return now.Add(time.Duration(value) * time.Millisecond)
}

func (d *headerDecoder) duration(name string, unit, limit time.Duration) time.Duration {
	value := d.number(name, 10)
	if value > uint64(limit/unit) {
		d.fail(name, fmt.Sprintf("want at most %d", limit/unit))
		return 0
	}
	return time.Duration(value) * unit
}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// stripHeaders removes the headers that concern one connection only and those that nodes set.
func stripHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}
