package fleet

import "fmt"

// Verdict says whether a request may have run on a target.
type Verdict uint8

// MayHaveRun is the zero value, so that a forgotten verdict never allows a second attempt at an order.
const (
	// MayHaveRun means that the request may have started, and nothing more is known.
	MayHaveRun Verdict = iota
	// NotRun means that the request provably did not start on any target.
	NotRun
	// Ran means that a target answered the request.
	Ran
)

var verdictNames = [...]string{MayHaveRun: "MayHaveRun", NotRun: "NotRun", Ran: "Ran"}

// String returns the name used in headers and answers.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return fmt.Sprintf("Verdict(%d)", uint8(v))
	}
	return verdictNames[v]
}

// ParseVerdict returns the verdict with the given name, and MayHaveRun for any other string.
func ParseVerdict(name string) Verdict {
	for v, n := range verdictNames {
		if n == name {
			return Verdict(v)
		}
	}
	return MayHaveRun
}

// Join returns the verdict on a request after two attempts with verdicts v and w.
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
