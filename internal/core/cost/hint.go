package cost

import (
	"math"
	"time"
)

// Hint is a wait that was reported at a time. As time passes, the queue behind which a request would have waited gets shorter.
type Hint struct {
	wait time.Duration
	at   time.Time
}

// NewHint returns the hint of a wait reported at a time.
func NewHint(at time.Time, wait time.Duration) Hint { return Hint{wait: wait, at: at} }

// Age returns the time since the report.
func (h Hint) Age(now time.Time) time.Duration { return now.Sub(h.at) }

// Wait returns the wait that is left of the reported one.
func (h Hint) Wait(now time.Time) time.Duration { return max(h.wait-now.Sub(h.at), 0) }

// halfLife is the time after which a wait that was reported by some targets of a group counts half for the others. The queues of a
// group that is overloaded do not become shorter, while a shorter time than this would ask them again too often.
const halfLife = time.Second

// Decayed returns the wait of a group of targets: the reported wait, halved for each half-life since.
func (h Hint) Decayed(now time.Time) time.Duration {
	if h.wait == 0 {
		return 0
	}
	return time.Duration(float64(h.wait) * math.Exp2(-float64(now.Sub(h.at))/float64(halfLife)))
}

// Smoothed returns the hint for a group of targets after one of them reported a wait: half of the reported wait and half of what is
// left of the earlier ones.
func (h Hint) Smoothed(at time.Time, wait time.Duration) Hint {
	if h.at.IsZero() {
		return NewHint(at, wait)
	}
	return NewHint(at, (h.Decayed(at)+wait)/2)
}
