package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/health"
)

const target = fleet.TargetID("n1/a")

var start = time.Unix(1000, 0)

// after returns the state after requests that ended one after the other.
func after(evidence ...health.Evidence) health.State {
	var s health.State
	for _, e := range evidence {
		s = s.RunFinished(start, target, "r.1", e, time.Millisecond)
	}
	return s
}

func suspect(s health.State) bool { return s.Health(target) == fleet.Faulty }

// Guards against orders on a target that has just failed, and against targets that are avoided without reason or for long.
func TestSuspicion(t *testing.T) {
	const ok, erred, broke = health.Succeeded, health.ServerError, health.Broken
	for name, c := range map[string]struct {
		history []health.Evidence
		suspect bool
	}{
		"unknown":                           {nil, false},
		"one break":                         {[]health.Evidence{broke}, true},
		"one server error":                  {[]health.Evidence{erred}, false},
		"two server errors":                 {[]health.Evidence{erred, erred}, true},
		"server errors among successes":     {[]health.Evidence{erred, ok, ok, erred, ok, ok, erred}, false},
		"a success after a break":           {[]health.Evidence{broke, ok}, true},
		"two successes after a break":       {[]health.Evidence{broke, ok, ok}, false},
		"two successes after many breaks":   {[]health.Evidence{broke, broke, broke, ok, ok}, true},
		"three successes after many breaks": {[]health.Evidence{broke, broke, broke, ok, ok, ok}, false},
		"a break after many successes":      {[]health.Evidence{ok, ok, ok, ok, ok, ok, broke}, true},
		"requests that their callers leave": {[]health.Evidence{health.None, health.None}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(suspect(after(c.history...)), c.suspect)
		})
	}
}

// TestShedding guards against a pool that refuses half of its requests and is used as if it broke them off, and the reverse.
func TestShedding(t *testing.T) {
	const ok, refused, broke = health.Succeeded, health.Shed, health.Broken
	for name, c := range map[string]struct {
		history []health.Evidence
		want    fleet.Health
	}{
		"one refusal":                        {[]health.Evidence{refused}, fleet.Healthy},
		"two refusals":                       {[]health.Evidence{refused, refused}, fleet.Shedding},
		"successes after them":               {[]health.Evidence{refused, refused, ok, ok}, fleet.Healthy},
		"a break beside refusals":            {[]health.Evidence{refused, refused, broke}, fleet.Faulty},
		"refusals after a break":             {[]health.Evidence{broke, refused, refused}, fleet.Faulty},
		"refusals that go on after a break":  {[]health.Evidence{broke, ok, refused, refused, refused, ok, refused}, fleet.Shedding},
		"refusals do not add up with errors": {[]health.Evidence{refused, health.ServerError}, fleet.Healthy},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(after(c.history...).Health(target), c.want)
		})
	}
	t.Run("trials are spaced", func(t *testing.T) {
		is := is.New(t)
		s := after(refused, refused)
		is.True(!s.AllowsTrial(start, target))
		is.True(s.AllowsTrial(start.Add(200*time.Millisecond), target))
	})
}

// Guards against trials that flood a failing target, and against one that is never tried again.
func TestTrials(t *testing.T) {
	t.Run("pauses grow to a bound", func(t *testing.T) {
		is := is.New(t)
		s, now := health.State{}, start
		for _, pause := range []time.Duration{100, 200, 400, 800, 800} {
			s = s.RunFinished(now, target, "r.1", health.Broken, time.Millisecond)
			is.True(!s.AllowsTrial(now.Add(pause*time.Millisecond-1), target))
			now = now.Add(pause * time.Millisecond)
			is.True(s.AllowsTrial(now, target))
		}
	})
	t.Run("one at a time", func(t *testing.T) {
		is := is.New(t)
		s := after(health.Broken).RunStarted(start.Add(time.Second), target, "r.2")
		is.True(!s.AllowsTrial(start.Add(2*time.Second), target))
		s = s.RunFinished(start.Add(2*time.Second), target, "r.2", health.Succeeded, time.Second)
		s = s.RunStarted(start.Add(2*time.Second), target, "r.3")
		is.True(s.AllowsTrial(start.Add(2*time.Second), target)) // after a success they may run beside one another
	})
	t.Run("one without a result keeps others back for a time", func(t *testing.T) {
		s := after(health.Broken).RunStarted(start, target, "r.2")
		is.New(t).True(s.AllowsTrial(start.Add(2*time.Second), target))
	})
	t.Run("a new process has no history", func(t *testing.T) {
		is.New(t).True(!suspect(after(health.Broken).Forget(target)))
	})
}

// Guards against a target that stays out of use for the length of several requests although it has recovered, and against
// trials that count twice or too soon.
func TestOutlivingTrials(t *testing.T) {
	// outlived is a target whose requests failed after the given time, with two trials that have run for a while.
	outlived := func(failedAfter, ran time.Duration) health.State {
		s := health.State{}.RunFinished(start, target, "r.1", health.Broken, failedAfter)
		s = s.RunStarted(start, target, "r.2").RunStarted(start, target, "r.3")
		return s.Tick(start.Add(ran))
	}
	t.Run("two that outlive quick failures clear the target", func(t *testing.T) {
		is.New(t).True(!suspect(outlived(2*time.Millisecond, 100*time.Millisecond)))
	})
	t.Run("not before they have run longer than the failures", func(t *testing.T) {
		is.New(t).True(suspect(outlived(400*time.Millisecond, time.Second)))
	})
	t.Run("one does not count again when it ends", func(t *testing.T) {
		s := health.State{}.RunFinished(start, target, "r.1", health.Broken, time.Millisecond)
		s = s.RunStarted(start, target, "r.2").Tick(start.Add(time.Second))
		s = s.RunFinished(start.Add(time.Second), target, "r.2", health.Succeeded, time.Second)
		is.New(t).True(suspect(s))
	})
}
