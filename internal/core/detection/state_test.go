package detection

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	target   fleet.TargetID = "n1/a"
	baseline                = 40 * time.Millisecond
	croatia                 = 24 * time.Hour
)

// script feeds samples to one target, the given time apart, and returns the judgements of its last run.
type script struct {
	state State
	now   time.Time
	apart time.Duration
	base  Sample
}

func newScript(apart time.Duration) script {
	return script{
		state: New(),
		now:   time.Unix(1e9, 0),
		apart: apart,
		base:  Sample{Target: target, Duration: baseline / 2, Baseline: baseline, FalseEjectionInterval: croatia},
	}
}

// run feeds count samples changed by edit and returns the number of judgements of each kind.
func (sc *script) run(count int, edit func(*Sample)) map[Judgement]int {
	judged := map[Judgement]int{}
	for range count {
		sample := sc.base
		edit(&sample)
		sc.now = sc.now.Add(sc.apart)
		next, judgement := sc.state.RunFinished(sc.now, sample)
		sc.state = next
		judged[judgement]++
	}
	return judged
}

func good(*Sample)     {}
func failed(s *Sample) { s.Failed = true }
func slow(s *Sample)   { s.Duration = 2 * baseline }

// isJudged asserts how often a judgement was given.
func isJudged(t *testing.T, got map[Judgement]int, judgement Judgement, times int) {
	t.Helper()
	is.New(t).Equal(got[judgement], times)
}

// TestFailing guards against failing targets that stay undetected and against healthy ones that are judged failing.
func TestFailing(t *testing.T) {
	const apart = 100 * time.Millisecond
	t.Run("failures are detected within 8 requests", func(t *testing.T) {
		sc := newScript(apart)
		sc.run(100, good)
		isJudged(t, sc.run(8, failed), Failing, 1)
	})
	t.Run("slow requests are detected within 8 requests", func(t *testing.T) {
		sc := newScript(apart)
		sc.run(100, good)
		isJudged(t, sc.run(8, slow), Failing, 1)
	})
	t.Run("requests that were hedged and given up late are detected within 8", func(t *testing.T) {
		sc := newScript(apart)
		sc.run(100, good)
		isJudged(t, sc.run(8, func(s *Sample) { slow(s); s.Canceled = true }), Failing, 1)
	})
	t.Run("requests that were given up early say nothing", func(t *testing.T) {
		sc := newScript(apart)
		isJudged(t, sc.run(100, func(s *Sample) { good(s); s.Canceled = true }), Failing, 0)
		is.New(t).Equal(sc.state.Evidence(target).Samples, 0)
	})
	t.Run("a rare class without a baseline is not judged by its time", func(t *testing.T) {
		sc := newScript(apart)
		isJudged(t, sc.run(100, func(s *Sample) { s.Class, s.Baseline, s.Duration = fleet.Order, 0, time.Minute }), Failing, 0)
	})
	t.Run("many errors within one moment eject nothing", func(t *testing.T) {
		sc := newScript(time.Millisecond)
		isJudged(t, sc.run(150, failed), Failing, 0)
	})
	t.Run("a target that keeps failing is judged again and stays suspect", func(t *testing.T) {
		sc := newScript(apart)
		sc.run(100, good)
		isJudged(t, sc.run(8, failed), Failing, 1)
		evidence := sc.state.Evidence(target)
		is.New(t).True(evidence.Score >= evidence.Threshold/2)
		isJudged(t, sc.run(8, failed), Failing, 2)
	})
	t.Run("forgotten targets start anew", func(t *testing.T) {
		sc := newScript(apart)
		sc.run(5, failed)
		is.New(t).Equal(sc.state.Forget(target).Evidence(target), Evidence{})
	})
}

// TestReturn guards against targets that return while they still fail, and against ones that never return.
func TestReturn(t *testing.T) {
	ejected := func(edit func(*Sample)) func(*Sample) {
		return func(s *Sample) {
			s.Ejected = true
			edit(s)
		}
	}
	t.Run("16 good trials return a target", func(t *testing.T) {
		sc := newScript(time.Second)
		isJudged(t, sc.run(15, ejected(good)), Recovered, 0)
		isJudged(t, sc.run(1, ejected(good)), Recovered, 1)
	})
	t.Run("two bad trials are a relapse", func(t *testing.T) {
		sc := newScript(time.Second)
		isJudged(t, sc.run(2, ejected(failed)), Relapsed, 1)
	})
}

// TestThreshold guards against settings that do not reach the detector.
func TestThreshold(t *testing.T) {
	is := is.New(t)
	is.True(threshold(8760*time.Hour, 10) > threshold(croatia, 10))
	is.True(threshold(croatia, 100) > threshold(croatia, 10))
	is.Equal(threshold(croatia, 0.05), threshold(croatia, minRate))
	is.Equal(threshold(0, 10), threshold(defaultInterval, 10))
}

// TestP95 guards against a tracker that does not converge, or that does not follow a change.
func TestP95(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	sc := newScript(time.Second)
	lognormal := func(median time.Duration) func(*Sample) {
		return func(s *Sample) { s.Duration = time.Duration(float64(median) * math.Exp(r.NormFloat64()/2)) }
	}
	isNear := func(t *testing.T, median time.Duration) {
		t.Helper()
		want := float64(median) * math.Exp(1.645/2)
		is.New(t).True(math.Abs(math.Log(float64(sc.state.P95(target, fleet.Lookup))/want)) < 0.3)
	}
	is.New(t).Equal(sc.state.P95(target, fleet.Lookup), time.Duration(0))
	sc.run(500, lognormal(20*time.Millisecond))
	isNear(t, 20*time.Millisecond)
	sc.run(500, lognormal(100*time.Millisecond))
	isNear(t, 100*time.Millisecond)
}
