package detection

import (
	"math"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// The rates of bad requests that the test tells apart: that of a healthy target, which follows from the definition of a
// p95, and the lowest one that is worth an ejection.
const (
	healthyBadRate = 0.05
	failingBadRate = 0.3
)

// The log-likelihood ratios of a bad and of a good request, failing against healthy.
var (
	badGain  = math.Log(failingBadRate / healthyBadRate)
	goodGain = math.Log((1 - failingBadRate) / (1 - healthyBadRate))
)

// A short burst of errors, such as a dropped connection with many requests on it, must not eject a target by itself. The
// score therefore grows by at most half of the threshold within each gainInterval. Without the limit, a fault of 200 ms at
// 50 req/s ejects the target in 82 of 100 runs at a false ejection interval of 24h; with it, in none. For a target that
// fails half of its requests at 10 req/s, the limit delays detection by one request at p50 and by none at p99.
const (
	gainInterval     = 200 * time.Millisecond
	gainLimitDivisor = 2
)

// The thresholds of the sequential test on the trial requests of an ejected target. Recovery takes at least 16 good requests.
// A target that still fails 30% of its requests is judged recovered with a probability of e^-4.6, about 1%. Two bad requests
// close together are a relapse.
const (
	recoveredScore = 4.6
	relapsedScore  = -3
)

// detector holds the statistics of one target.
type detector struct {
	trackers [len(fleet.Classes)]p95Tracker
	rate     rate
	// ejected selects the test that the score belongs to: the CUSUM in service, or the sequential test while ejected.
	ejected    bool
	score      float64
	threshold  float64
	samples    int
	badSamples int
	baseline   time.Duration
	// intervalStart and intervalGain limit the growth of the score within a gainInterval.
	intervalStart time.Time
	intervalGain  float64
	// suspectedAt is the time of the last bad request in service after which the score was at least suspectScore.
	suspectedAt time.Time
}

func (d detector) withSample(now time.Time, s Sample) (detector, Judgement) {
	d.rate = d.rate.withRequest(now)
	d.threshold = threshold(s.FalseEjectionInterval, d.rate.perSecond(now))
	if s.Baseline > 0 {
		d.baseline = s.Baseline
	}
	if !s.Failed {
		d.trackers[s.Class] = d.trackers[s.Class].withDuration(s.Duration)
	}
	if s.Ejected != d.ejected {
		d.ejected = s.Ejected
		d = d.reset()
	}
	d.samples++
	if s.isBad() {
		d.badSamples++
	}
	if d.ejected {
		return d.judgeEjected(s.isBad())
	}
	return d.judgeInService(now, s.isBad())
}

// judgeInService updates the CUSUM of a target in service. Once the target is judged failing, half of the threshold
// remains as its score, so that a target that could not be ejected is judged again soon and still counts as suspect.
func (d detector) judgeInService(now time.Time, bad bool) (detector, Judgement) {
	if !bad {
		d.score += goodGain
		if d.score <= 0 {
			d = d.reset()
		}
		return d, Undecided
	}
	d = d.withBadGain(now)
	if d.score >= suspectScore {
		d.suspectedAt = now
	}
	if d.score < d.threshold {
		return d, Undecided
	}
	d.score = d.threshold / 2
	return d, Failing
}

// withBadGain adds a bad request to the score, up to the limit for each gainInterval.
func (d detector) withBadGain(now time.Time) detector {
	if now.Sub(d.intervalStart) >= gainInterval {
		d.intervalStart = now
		d.intervalGain = 0
	}
	gain := min(badGain, d.threshold/gainLimitDivisor-d.intervalGain)
	d.intervalGain += gain
	d.score += gain
	return d
}

// judgeEjected updates the sequential test of an ejected target.
func (d detector) judgeEjected(bad bool) (detector, Judgement) {
	if bad {
		d.score -= badGain
	} else {
		d.score -= goodGain
	}
	switch {
	case d.score >= recoveredScore:
		return d.reset(), Recovered
	case d.score <= relapsedScore:
		return d.reset(), Relapsed
	default:
		return d, Undecided
	}
}

// reset returns the detector with its score and counts at zero.
func (d detector) reset() detector {
	d.score = 0
	d.samples = 0
	d.badSamples = 0
	return d
}
