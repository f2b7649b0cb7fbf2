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
	target                fleet.TargetID = "n1/a"
	baseline                             = 40 * time.Millisecond
	falseEjectionInterval                = 24 * time.Hour
)

// feeder feeds samples of one target to a state at a fixed interval.
type feeder struct {
	state    State
	now      time.Time
	interval time.Duration
	base     Sample
}

func newFeeder(interval time.Duration) feeder {
	return feeder{
		state:    New(),
		now:      time.Unix(1e9, 0),
		interval: interval,
		base:     Sample{Target: target, Duration: baseline / 2, Baseline: baseline, FalseEjectionInterval: falseEjectionInterval},
	}
}

// run feeds count samples, each changed by edit, and returns the number of judgements of each kind.
func (f *feeder) run(count int, edit func(*Sample)) map[Judgement]int {
	judged := map[Judgement]int{}
	for range count {
		sample := f.base
		edit(&sample)
		f.now = f.now.Add(f.interval)
		next, judgement := f.state.RunFinished(f.now, sample)
		f.state = next
		judged[judgement]++
	}
	return judged
}

func good(*Sample)     {}
func failed(s *Sample) { s.Failed = true }
func slow(s *Sample)   { s.Duration = 2 * baseline }

// assertJudgements checks how often a judgement was given.
func assertJudgements(t *testing.T, got map[Judgement]int, judgement Judgement, times int) {
	t.Helper()
	is.New(t).Equal(got[judgement], times)
}

// TestFailing guards against failing targets that stay undetected, and against healthy targets that are judged failing.
func TestFailing(t *testing.T) {
	const interval = 100 * time.Millisecond
	t.Run("failures are detected within 8 requests", func(t *testing.T) {
		f := newFeeder(interval)
		f.run(100, good)
		assertJudgements(t, f.run(8, failed), Failing, 1)
	})
	t.Run("slow requests are detected within 8 requests", func(t *testing.T) {
		f := newFeeder(interval)
		f.run(100, good)
		assertJudgements(t, f.run(8, slow), Failing, 1)
	})
	t.Run("hedged requests that were canceled late are detected within 8 requests", func(t *testing.T) {
		f := newFeeder(interval)
		f.run(100, good)
		assertJudgements(t, f.run(8, func(s *Sample) { slow(s); s.Canceled = true }), Failing, 1)
	})
	t.Run("requests that were canceled early are not counted", func(t *testing.T) {
		f := newFeeder(interval)
		assertJudgements(t, f.run(100, func(s *Sample) { good(s); s.Canceled = true }), Failing, 0)
		is.New(t).Equal(f.state.Evidence(target).Samples, 0)
	})
	t.Run("a class without a baseline is not judged by its durations", func(t *testing.T) {
		f := newFeeder(interval)
		assertJudgements(t, f.run(100, func(s *Sample) { s.Class, s.Baseline, s.Duration = fleet.Order, 0, time.Minute }), Failing, 0)
	})
	t.Run("a short burst of errors does not eject", func(t *testing.T) {
		f := newFeeder(time.Millisecond)
		assertJudgements(t, f.run(150, failed), Failing, 0)
	})
	t.Run("a target that keeps failing is judged again and stays suspect", func(t *testing.T) {
		f := newFeeder(interval)
		f.run(100, good)
		assertJudgements(t, f.run(8, failed), Failing, 1)
		evidence := f.state.Evidence(target)
		is.New(t).True(evidence.Score >= evidence.Threshold/2)
		assertJudgements(t, f.run(8, failed), Failing, 2)
	})
	t.Run("a forgotten target has no evidence", func(t *testing.T) {
		f := newFeeder(interval)
		f.run(5, failed)
		is.New(t).Equal(f.state.Forget(target).Evidence(target), Evidence{})
	})
}

// TestReturn guards against targets that return while they still fail, and against targets that never return.
func TestReturn(t *testing.T) {
	ejected := func(edit func(*Sample)) func(*Sample) {
		return func(s *Sample) {
			s.Ejected = true
			edit(s)
		}
	}
	t.Run("16 good trial requests return a target", func(t *testing.T) {
		f := newFeeder(time.Second)
		assertJudgements(t, f.run(15, ejected(good)), Recovered, 0)
		assertJudgements(t, f.run(1, ejected(good)), Recovered, 1)
	})
	t.Run("two bad trial requests are a relapse", func(t *testing.T) {
		f := newFeeder(time.Second)
		assertJudgements(t, f.run(2, ejected(failed)), Relapsed, 1)
	})
}

// TestThreshold guards against a threshold that ignores the false ejection interval or the request rate.
func TestThreshold(t *testing.T) {
	is := is.New(t)
	is.True(threshold(8760*time.Hour, 10) > threshold(falseEjectionInterval, 10))
	is.True(threshold(falseEjectionInterval, 100) > threshold(falseEjectionInterval, 10))
	is.Equal(threshold(falseEjectionInterval, 0.05), threshold(falseEjectionInterval, minRate))
	is.Equal(threshold(0, 10), threshold(defaultInterval, 10))
}

// TestP95 guards against a tracker that does not converge, or that does not follow a change.
func TestP95(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	f := newFeeder(time.Second)
	lognormal := func(median time.Duration) func(*Sample) {
		return func(s *Sample) { s.Duration = time.Duration(float64(median) * math.Exp(r.NormFloat64()/2)) }
	}
	assertP95Near := func(t *testing.T, median time.Duration) {
		t.Helper()
		want := float64(median) * math.Exp(1.645/2)
		is.New(t).True(math.Abs(math.Log(float64(f.state.P95(target, fleet.Lookup))/want)) < 0.3)
	}
	is.New(t).Equal(f.state.P95(target, fleet.Lookup), time.Duration(0))
	f.run(500, lognormal(20*time.Millisecond))
	assertP95Near(t, 20*time.Millisecond)
	f.run(500, lognormal(100*time.Millisecond))
	assertP95Near(t, 100*time.Millisecond)
}
