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
//
// A connection between nodes remembers the headers that it has carried. What differs in every attempt shares one header,
// and what is the same for a target and a class shares another, so that a further attempt costs one short header.
const (
	headerPrefix  = "Jayfold-"
	headerAttempt = "Jayfold-Attempt" // id, budget, goal, baseline and fingerprint
	headerTarget  = "Jayfold-Target"  // target, pool, its size, sender, class, whether idempotent, priority and revision
	headerCaller  = "Jayfold-Caller"
	headerKey     = "Jayfold-Key"
	headerMode    = "Jayfold-Mode" // which of the words below hold
	headerVerify  = "Jayfold-Verify"
	headerCancel  = "Jayfold-Cancel"
)

// noGoal stands for the goal of an attempt without one.
const noGoal = "-"

const (
	maxNameBytes = 256
	// maxBudget bounds what a peer can ask this node to remember of an attempt.
	maxBudget = time.Hour
	// maxBaseline is beyond any p95 that a pool can have.
	maxBaseline = time.Hour
	// maxPriority is the largest that a queue tells apart.
	maxPriority = 255
	// maxPoolSize is beyond the targets of all pools at the design size.
	maxPoolSize = 1 << 16
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
	goal := noGoal
	if !a.Goal.IsZero() {
		goal = strconv.FormatInt(a.Goal.Sub(now).Milliseconds(), 10)
	}
	h.Set(headerAttempt, packFields(
		string(a.ID),
		strconv.FormatInt(max(a.Deadline.Sub(now), 0).Milliseconds(), 10),
		goal,
		strconv.FormatInt(a.Baseline.Microseconds(), 10),
		fmt.Sprintf("%016x", uint64(a.Fingerprint)),
	))
	h.Set(headerTarget, packFields(
		string(a.Target),
		string(a.Pool),
		strconv.Itoa(a.PoolSize),
		string(wire.From),
		a.Class.String(),
		strconv.FormatBool(a.Idempotent),
		strconv.Itoa(a.Priority),
		strconv.FormatUint(uint64(wire.Revision), 10),
	))
	if mode := modeWords(a); mode != "" {
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
	modeProbe         = "probe"
	modeTrial         = "trial"
	modeRetry         = "repeated"
	modeParentRetried = "derived"
	modeBudgetCharged = "borrowed"
	modeForced        = "forced"
)

func modeWords(a fleet.Attempt) string {
	var words []string
	for word, holds := range map[string]bool{
		modeProbe: a.Probe, modeTrial: a.Trial, modeRetry: a.IsRetry, modeParentRetried: a.ParentRetried, modeBudgetCharged: a.BudgetCharged,
		modeForced: a.Forced,
	} {
		if holds {
			words = append(words, word)
		}
	}
	slices.Sort(words)
	return strings.Join(words, " ")
}

// decodeAttempt reads the headers of a forwarded request. Errors name the header and the field.
func decodeAttempt(h http.Header, now time.Time) (wireAttempt, error) {
	d := headerDecoder{header: h}
	mode := strings.Fields(d.optionalValue(headerMode))
	own := d.unpack(headerAttempt, "id", "budget", "goal", "baseline", "fingerprint")
	shared := d.unpack(headerTarget, "target", "pool", "pool size", "sender", "class", "idempotent", "priority", "revision")
	wire := wireAttempt{
		Attempt: fleet.Attempt{
			ID:            fleet.AttemptID(d.requiredName(own[0])),
			Deadline:      now.Add(d.duration(own[1], time.Millisecond, maxBudget)),
			Goal:          d.relativeTime(own[2], now),
			Baseline:      d.duration(own[3], time.Microsecond, maxBaseline),
			Fingerprint:   fleet.Fingerprint(d.number(own[4], 16)),
			Target:        fleet.TargetID(d.requiredName(shared[0])),
			Pool:          fleet.PoolName(d.requiredName(shared[1])),
			PoolSize:      int(min(d.number(shared[2], 10), maxPoolSize)),
			Class:         d.class(shared[4]),
			Idempotent:    d.boolean(shared[5]),
			Priority:      int(min(d.number(shared[6], 10), maxPriority)),
			Probe:         slices.Contains(mode, modeProbe),
			Trial:         slices.Contains(mode, modeTrial),
			IsRetry:       slices.Contains(mode, modeRetry),
			ParentRetried: slices.Contains(mode, modeParentRetried),
			BudgetCharged: slices.Contains(mode, modeBudgetCharged),
			Forced:        slices.Contains(mode, modeForced),
			Caller:        fleet.Caller(d.optionalValue(headerCaller)),
			Key:           fleet.IdempotencyKey(d.optionalValue(headerKey)),
		},
		From:     fleet.NodeID(d.requiredName(shared[3])),
		Revision: fleet.Revision(d.number(shared[7], 10)),
	}
	if id := wire.Attempt.ID; id.Request() == "" || string(id.Request()) == string(id) {
		d.fail(own[0], "want a request id, a dot and a number")
	}
	wire.Attempt.Node = wire.Attempt.Target.Node()
	return wire, d.err
}

// hopByHopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
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
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}
