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

// The headers that nodes add to requests between them. Callers and targets cannot set any of them.
//
// HTTP/2 compresses a header that repeats one sent earlier on the same connection. Jayfold-Attempt therefore packs the values
// that differ between attempts, and Jayfold-Target those that are equal for all attempts with the same target and class, so that
// each further attempt costs one short header.
const (
	headerPrefix  = "Jayfold-"
	headerAttempt = "Jayfold-Attempt" // id, budget (time to the deadline), goal, baseline and fingerprint
	headerTarget  = "Jayfold-Target"  // target, pool, pool size, sender, class, idempotent, priority and revision
	headerCaller  = "Jayfold-Caller"  // client account
	headerAccount = "Jayfold-Account" // authenticated client account
	headerKey     = "Jayfold-Key"     // idempotency key
	headerMode    = "Jayfold-Mode"    // mode words, separated by spaces
	headerVerify  = "Jayfold-Verify"  // sender; the request only verifies that the peer responds
	headerCancel  = "Jayfold-Cancel"  // id of an attempt; the request only cancels that attempt
)

// noGoal is the encoded goal of an attempt without a latency goal.
const noGoal = "-"

const (
	maxNameBytes = 256
	// maxTimeLeft bounds the time to an attempt's deadline, and thereby how long a peer can make this node keep its state.
	maxTimeLeft = time.Hour
	// maxBaseline exceeds the p95 of any pool.
	maxBaseline = time.Hour
	// maxPriority bounds an attempt's priority; a larger number is reduced to it.
	maxPriority = fleet.MaxAttemptPriority
	// maxPoolSize exceeds the number of targets of all pools at the design size.
	maxPoolSize = 1 << 16
)

// wireAttempt is the content of the headers of a forwarded request.
type wireAttempt struct {
	Attempt  fleet.Attempt
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
		string(a.Ingress),
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
	if a.Account != "" {
		h.Set(headerAccount, string(a.Account))
	}
	if a.Key != "" {
		h.Set(headerKey, string(a.Key))
	}
}

// The mode words of headerMode.
const (
	modeProbe         = "probe"
	modeBrief         = "brief"
	modeTrial         = "trial"
	modeRetry         = "repeated"
	modeParentRetried = "derived"
	modeBudgetCharged = "borrowed"
	modeForced        = "forced"
	modeChild         = "child"
)

func modeWords(a fleet.Attempt) string {
	var words []string
	for word, applies := range map[string]bool{
		modeProbe: a.Probe, modeBrief: a.Brief, modeTrial: a.Trial, modeRetry: a.IsRetry, modeParentRetried: a.ParentRetried,
		modeBudgetCharged: a.BudgetCharged, modeForced: a.Forced, modeChild: a.Child,
	} {
		if applies {
			words = append(words, word)
		}
	}
	slices.Sort(words)
	return strings.Join(words, " ")
}

// decodeAttempt reads the headers of a forwarded request. An error names the header and the field.
func decodeAttempt(h http.Header, now time.Time) (wireAttempt, error) {
	d := headerDecoder{header: h}
	mode := strings.Fields(d.optionalValue(headerMode))
	attemptFields := d.unpack(headerAttempt, "id", "budget", "goal", "baseline", "fingerprint")
	targetFields := d.unpack(headerTarget, "target", "pool", "pool size", "sender", "class", "idempotent", "priority", "revision")
	wire := wireAttempt{
		Attempt: fleet.Attempt{
			ID:            fleet.AttemptID(d.requiredName(attemptFields[0])),
			Deadline:      now.Add(d.duration(attemptFields[1], time.Millisecond, maxTimeLeft)),
			Goal:          d.relativeTime(attemptFields[2], now),
			Baseline:      d.duration(attemptFields[3], time.Microsecond, maxBaseline),
			Fingerprint:   fleet.Fingerprint(d.number(attemptFields[4], 16)),
			Target:        fleet.TargetID(d.requiredName(targetFields[0])),
			Pool:          fleet.PoolName(d.requiredName(targetFields[1])),
			PoolSize:      int(min(d.number(targetFields[2], 10), maxPoolSize)),
			Ingress:       fleet.NodeID(d.requiredName(targetFields[3])),
			Class:         d.class(targetFields[4]),
			Idempotent:    d.boolean(targetFields[5]),
			Priority:      int(min(d.number(targetFields[6], 10), maxPriority)),
			Probe:         slices.Contains(mode, modeProbe),
			Brief:         slices.Contains(mode, modeBrief),
			Trial:         slices.Contains(mode, modeTrial),
			IsRetry:       slices.Contains(mode, modeRetry),
			ParentRetried: slices.Contains(mode, modeParentRetried),
			BudgetCharged: slices.Contains(mode, modeBudgetCharged),
			Forced:        slices.Contains(mode, modeForced),
			Child:         slices.Contains(mode, modeChild),
			Caller:        fleet.Caller(d.optionalValue(headerCaller)),
			Account:       fleet.AccountName(d.optionalValue(headerAccount)),
			Key:           fleet.IdempotencyKey(d.optionalValue(headerKey)),
		},
		Revision: fleet.Revision(d.number(targetFields[7], 10)),
	}
	if id := wire.Attempt.ID; id.Request() == "" || string(id.Request()) == string(id) {
		d.fail(attemptFields[0], "want a request id, a dot and a number")
	}
	wire.Attempt.Node = wire.Attempt.Target.Node()
	return wire, d.err
}

// hopByHopHeaders lists the headers that apply to one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// stripHeaders removes the hop-by-hop headers and the headers that nodes add.
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
