package fleet

import "fmt"

// Verdict tells whether a request may have run on a target.
type Verdict uint8

// The verdicts. MayHaveRun is the zero value, so that a verdict that was not set never allows a second attempt at an order.
const (
	// MayHaveRun is the verdict if the request may have started and nothing more is known.
	MayHaveRun Verdict = iota
	// NotRun is the verdict if the request provably did not start on any target.
	NotRun
	// Ran is the verdict if a target responded to the request.
	Ran
)

var verdictNames = [...]string{MayHaveRun: "MayHaveRun", NotRun: "NotRun", Ran: "Ran"}

// String returns the name used in headers and responses.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return fmt.Sprintf("Verdict(%d)", uint8(v))
	}
	return verdictNames[v]
}

// ParseVerdict returns the verdict with the given name, or MayHaveRun if there is none.
func ParseVerdict(name string) Verdict {
	for v, n := range verdictNames {
		if n == name {
			return Verdict(v)
		}
	}
	return MayHaveRun
}

// Join returns the verdict on a request whose attempts have the verdicts v and w.
func (v Verdict) Join(w Verdict) Verdict {
	switch {
	case v == Ran || w == Ran:
		return Ran
	case v == NotRun && w == NotRun:
		return NotRun
	default:
		return MayHaveRun
	}
}
