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

// after returns the state after consecutive runs with the given evidence.
func after(evidence ...health.Evidence) health.State {
	var s health.State
	for _, e := range evidence {
		s = s.RunFinished(start, target, "r.1", e, time.Millisecond)
	}
	return s
}

func isFaulty(s health.State) bool { return s.Health(target) == fleet.Faulty }

// TestFaulty guards against orders on a target that has just failed, and against targets that are avoided without reason or for
// too long.
func TestFaulty(t *testing.T) {
	const ok, serverError, broken = health.Succeeded, health.ServerError, health.Broken
	for name, c := range map[string]struct {
		history []health.Evidence
		faulty  bool
	}{
		"unknown":                                {nil, false},
		"one broken run":                         {[]health.Evidence{broken}, true},
		"one server error":                       {[]health.Evidence{serverError}, false},
		"two server errors":                      {[]health.Evidence{serverError, serverError}, true},
		"server errors among successes":          {[]health.Evidence{serverError, ok, ok, serverError, ok, ok, serverError}, false},
		"a success after a broken run":           {[]health.Evidence{broken, ok}, true},
		"two successes after a broken run":       {[]health.Evidence{broken, ok, ok}, false},
		"two successes after many broken runs":   {[]health.Evidence{broken, broken, broken, ok, ok}, true},
		"three successes after many broken runs": {[]health.Evidence{broken, broken, broken, ok, ok, ok}, false},
		"a broken run after many successes":      {[]health.Evidence{ok, ok, ok, ok, ok, ok, broken}, true},
		"requests canceled by their callers":     {[]health.Evidence{health.None, health.None}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(isFaulty(after(c.history...)), c.faulty)
		})
	}
}

// TestShedding guards against targets of a pool that sheds half of its requests being treated as if they broke them, and against
// targets that break requests being treated as if they only shed them.
func TestShedding(t *testing.T) {
	const ok, shed, broken = health.Succeeded, health.Shed, health.Broken
	for name, c := range map[string]struct {
		history []health.Evidence
		want    fleet.Health
	}{
		"one shed request":                           {[]health.Evidence{shed}, fleet.Healthy},
		"two shed requests":                          {[]health.Evidence{shed, shed}, fleet.Shedding},
		"successes after shed requests":              {[]health.Evidence{shed, shed, ok, ok}, fleet.Healthy},
		"a broken run after shed requests":           {[]health.Evidence{shed, shed, broken}, fleet.Faulty},
		"shed requests after a broken run":           {[]health.Evidence{broken, shed, shed}, fleet.Faulty},
		"shedding that continues after a broken run": {[]health.Evidence{broken, ok, shed, shed, shed, ok, shed}, fleet.Shedding},
		"shed requests do not add up with errors":    {[]health.Evidence{shed, health.ServerError}, fleet.Healthy},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(after(c.history...).Health(target), c.want)
		})
	}
	t.Run("trials are spaced", func(t *testing.T) {
		is := is.New(t)
		s := after(shed, shed)
		is.True(!s.AllowsTrial(start, target))
		is.True(s.AllowsTrial(start.Add(200*time.Millisecond), target))
	})
}

// TestTrials guards against trial requests that flood a failing target, and against a target that is never tried again.
func TestTrials(t *testing.T) {
	t.Run("the delay grows to its maximum", func(t *testing.T) {
		is := is.New(t)
		s, now := health.State{}, start
		for _, delay := range []time.Duration{100, 200, 400, 800, 800} {
			s = s.RunFinished(now, target, "r.1", health.Broken, time.Millisecond)
			is.True(!s.AllowsTrial(now.Add(delay*time.Millisecond-1), target))
			now = now.Add(delay * time.Millisecond)
			is.True(s.AllowsTrial(now, target))
		}
	})
	t.Run("one trial request at a time", func(t *testing.T) {
		is := is.New(t)
		s := after(health.Broken).RunStarted(start.Add(time.Second), target, "r.2")
		is.True(!s.AllowsTrial(start.Add(2*time.Second), target))
		s = s.RunFinished(start.Add(2*time.Second), target, "r.2", health.Succeeded, time.Second)
		s = s.RunStarted(start.Add(2*time.Second), target, "r.3")
		is.True(s.AllowsTrial(start.Add(2*time.Second), target)) // after a success they may run concurrently
	})
	t.Run("a trial request without a result holds back others until its timeout", func(t *testing.T) {
		s := after(health.Broken).RunStarted(start, target, "r.2")
		is.New(t).True(s.AllowsTrial(start.Add(2*time.Second), target))
	})
	t.Run("a new process has no history", func(t *testing.T) {
		is.New(t).True(!isFaulty(after(health.Broken).Forget(target)))
	})
}

// TestSurvivedTrials guards against a target that stays unused for the duration of several requests although it has recovered,
// and against trial requests that count twice or too soon.
func TestSurvivedTrials(t *testing.T) {
	// survived returns the state of a target whose last request failed after failedAfter and on which two trial requests have been
	// running for the duration ran.
	survived := func(failedAfter, ran time.Duration) health.State {
		s := health.State{}.RunFinished(start, target, "r.1", health.Broken, failedAfter)
		s = s.RunStarted(start, target, "r.2").RunStarted(start, target, "r.3")
		return s.Tick(start.Add(ran), nil)
	}
	t.Run("two trial requests that outlast quick failures clear the target", func(t *testing.T) {
		is.New(t).True(!isFaulty(survived(2*time.Millisecond, 100*time.Millisecond)))
	})
	t.Run("trial requests count only after several times the duration of the failures", func(t *testing.T) {
		is.New(t).True(isFaulty(survived(400*time.Millisecond, time.Second)))
	})
	t.Run("a trial request does not count again when it ends", func(t *testing.T) {
		s := health.State{}.RunFinished(start, target, "r.1", health.Broken, time.Millisecond)
		s = s.RunStarted(start, target, "r.2").Tick(start.Add(time.Second), nil)
		s = s.RunFinished(start.Add(time.Second), target, "r.2", health.Succeeded, time.Second)
		is.New(t).True(isFaulty(s))
	})
}
