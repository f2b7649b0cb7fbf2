package detection

import (
	"math"
	"time"
)

// logAlarmConstant is ln C. The mean number of healthy requests between false alarms of a CUSUM of log-likelihood ratios grows
// like C e^h with its threshold h (Lorden 1971 proves at least e^h; Siegmund 1985 gives the form of the constant). At the two
// rates of this package, C is between 8 and 11 for h between 6 and 12, over 2e7 requests. The value 2 errs towards fewer
// ejections.
const logAlarmConstant = 2

// minRate is the lowest request rate, per second, that the threshold is derived from. At low rates, as during
// the night, the interval alone would allow an ejection after four bad requests.
const minRate = 1

// The bounds of the threshold. At 7, four bad requests in a row suffice; above 25, detection only gets slower.
const (
	minThreshold = 7
	maxThreshold = 25
)

// defaultInterval is used for a pool without a FalseEjectionInterval, such as one that the newest tables have removed.
const defaultInterval = 30 * 24 * time.Hour

// threshold returns the score h at which a target with perSecond requests is falsely judged failing once per interval on
// average: h = ln(interval * rate) - ln C.
func threshold(interval time.Duration, perSecond float64) float64 {
	if interval <= 0 {
		interval = defaultInterval
	}
	requests := interval.Seconds() * max(perSecond, minRate)
	return min(max(math.Log(requests)-logAlarmConstant, minThreshold), maxThreshold)
}

// rateWindow is the time constant of the smoothed request rate. It is long enough that a spike does not move the
// threshold.
const rateWindow = time.Hour

// minRateSpan is the minimum time over which the first requests of a target are averaged.
const minRateSpan = 10 * time.Second

// rate is an exponentially weighted request rate, corrected for the time before the first request.
type rate struct {
	first, last  time.Time
	decayedCount float64
}

func (r rate) withRequest(now time.Time) rate {
	if r.first.IsZero() {
		r.first = now
		r.last = now
	}
	r.decayedCount = r.decayedCount*decay(now.Sub(r.last)) + 1
	r.last = now
	return r
}

func (r rate) perSecond(now time.Time) float64 {
	observedShare := 1 - decay(max(now.Sub(r.first), minRateSpan))
	return r.decayedCount / (rateWindow.Seconds() * observedShare)
}

func decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / rateWindow.Seconds()) }
