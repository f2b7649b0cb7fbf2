package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/health"
)

// usual is the usual time of the runs in these tests.
const usual = time.Second

// inFlight returns runs that have been silent for multiples of their usual time at the given time.
func inFlight(now time.Time, multiples ...float64) map[fleet.TargetID][]health.Flight {
	var flights []health.Flight
	for _, m := range multiples {
		silence := time.Duration(m * float64(usual))
		flights = append(flights, health.Flight{Started: now.Add(-silence), Silence: silence, Usual: usual})
	}
	return map[fleet.TargetID][]health.Flight{target: flights}
}

// TestSilence guards against orders on a target that accepts requests and hangs, which shows in finished runs only when their
// deadlines have passed, and against healthy targets that are avoided for a single long run.
func TestSilence(t *testing.T) {
	const ok, serverError = health.Succeeded, health.ServerError
	for name, c := range map[string]struct {
		history []health.Evidence
		silent  []float64
		want    fleet.Health
	}{
		"no run in flight":                {nil, nil, fleet.Healthy},
		"a run within the usual time":     {nil, []float64{0.9}, fleet.Healthy},
		"many runs within the usual time": {nil, []float64{0.9, 0.9, 0.9, 0.9, 0.9}, fleet.Healthy},
		"a late run":                      {[]health.Evidence{ok}, []float64{1.6}, fleet.Healthy},
		"a run that is very late":         {[]health.Evidence{ok}, []float64{2.1}, fleet.Silent},
		"two late runs":                   {[]health.Evidence{ok}, []float64{1.1, 1.1}, fleet.Silent},
		"a late run after an error":       {[]health.Evidence{serverError}, []float64{1.1}, fleet.Silent},
		"a late run after errors":         {[]health.Evidence{serverError, serverError}, []float64{1.1}, fleet.Faulty},
	} {
		t.Run(name, func(t *testing.T) {
			now := start.Add(10 * time.Second)
			s := after(c.history...).RunFinished(start, target, "r.0", health.None, 0)
			is.New(t).Equal(s.Tick(now, inFlight(now, c.silent...)).Health(target), c.want)
		})
	}
	t.Run("a run that started later has succeeded", func(t *testing.T) {
		is := is.New(t)
		now := start.Add(10 * time.Second)
		s := after(ok).Tick(now, inFlight(now, 2.5))
		is.Equal(s.Health(target), fleet.Silent)
		s = s.RunFinished(now, target, "r.9", ok, usual)
		is.Equal(s.Tick(now, inFlight(now, 2.5)).Health(target), fleet.Healthy)
	})
	t.Run("the runs have ended", func(t *testing.T) {
		is := is.New(t)
		now := start.Add(10 * time.Second)
		s := after(ok).Tick(now, inFlight(now, 2.5))
		is.Equal(s.Health(target), fleet.Silent)
		is.Equal(s.Tick(now, nil).Health(target), fleet.Healthy)
	})
	t.Run("a canceled run that was late counts", func(t *testing.T) {
		is.New(t).Equal(after(health.Overdue, health.Overdue).Health(target), fleet.Faulty)
	})
}

// TestSilentTrials guards against a run on a silent target that counts as a success because it has not failed yet.
func TestSilentTrials(t *testing.T) {
	is := is.New(t)
	now := start.Add(10 * time.Second)
	s := after(health.Succeeded).Tick(now, inFlight(now, 2.5))
	is.True(!s.AllowsTrial(now, target))
	now = now.Add(200 * time.Millisecond)
	is.True(s.AllowsTrial(now, target))
	s = s.RunStarted(now, target, "r.2")
	is.True(!s.AllowsTrial(now.Add(time.Second), target))
	s = s.Tick(now.Add(time.Second), inFlight(now.Add(time.Second), 3))
	is.Equal(s.Health(target), fleet.Silent)
}
