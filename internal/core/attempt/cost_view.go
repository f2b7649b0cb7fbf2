package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/cost"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// meanSmoothing is the weight of one report in a pool's mean run time.
	meanSmoothing = 1.0 / 16
	// meanLifetime is how long the mean run time that a target has reported is used. A target that was slow may have become warm.
	meanLifetime = 10 * time.Second
	// maxSpeedRatio bounds the run time of a target relative to its pool, so that no report attracts or repels all requests. Hosts
	// have 0.16 to 0.8 cores, and a cold target is twice as slow.
	maxSpeedRatio = 10
)

// costView is what an ingress knows of the expected waits and run times on a target. It is kept only if targets are placed by cost.
type costView struct {
	zone fleet.AvailabilityZone
	// wait is the wait at the last report, and sent the number of attempts sent to the target since.
	wait cost.Hint
	sent int
	// means holds the reported mean run time of each class; 0 if unknown.
	means [len(fleet.Classes)]time.Duration
}

// poolCosts is what an ingress knows of the run times in a pool and of the waits in its zones.
type poolCosts struct {
	means [len(fleet.Classes)]time.Duration
	zones fleet.Map[fleet.AvailabilityZone, cost.Hint]
}

// withAttempt returns the pool after an attempt was sent to a target.
func (p *poolView) withAttempt(id fleet.TargetID, zone fleet.AvailabilityZone) *poolView {
	v := *p.target(id)
	v.cost.zone = zone
	v.cost.sent++
	return p.withTarget(id, v)
}

// withCosts returns the pool after a report, with the waits and run times that it contains. old is the view of the target before
// the report.
func (p *poolView) withCosts(now time.Time, old costView, r fleet.TargetReport) *poolView {
	v := *p.target(r.Target)
	v.cost = costView{zone: old.zone, wait: cost.NewHint(now, r.ExpectedWait), means: old.means}
	next := p.withTarget(r.Target, v)
	if old.zone != "" {
		zone, _ := p.costs.zones.Get(old.zone)
		next.costs.zones = p.costs.zones.With(old.zone, zone.Smoothed(now, r.ExpectedWait))
	}
	if r.MeanTime <= 0 || int(r.Class) >= len(next.costs.means) {
		return next
	}
	v.cost.means[r.Class] = r.MeanTime
	next = next.withTarget(r.Target, v)
	if mean := &next.costs.means[r.Class]; *mean == 0 {
		*mean = r.MeanTime
	} else {
		*mean += time.Duration(meanSmoothing * float64(r.MeanTime-*mean))
	}
	return next
}

// runTime returns the expected run time of a class on a target: a weighted mean of the times that the target and the pool have
// reported. The weight of the target's falls to 0 within meanLifetime, so that a target that was slow is used again.
func (p *poolView) runTime(now time.Time, v *targetView, class fleet.Class) time.Duration {
	pool, own := p.costs.means[class], v.cost.means[class]
	if own == 0 || pool == 0 {
		return pool
	}
	own = min(max(own, pool/maxSpeedRatio), pool*maxSpeedRatio)
	weight := max(1-float64(v.cost.wait.Age(now))/float64(meanLifetime), 0)
	return pool + time.Duration(weight*float64(own-pool))
}

// expectedCost is the expected wait and run time of an attempt.
type expectedCost struct {
	wait, run time.Duration
}

// expectedCost returns the expected times of an attempt on a target. A probe does not wait.
func (s State) expectedCost(now time.Time, attempt fleet.Attempt, c fleet.Candidate, m mode) expectedCost {
	pool := s.pool(attempt.Pool)
	v := pool.target(c.Target.ID)
	expected := expectedCost{run: pool.runTime(now, v, attempt.Class)}
	if m != probing {
		expected.wait, _ = pool.expectedWait(now, v, attempt.Class, c.Target.Slots)
	}
	return expected
}

// expectedWait returns the time that a new attempt is expected to wait on a target with the given number of slots, and whether that
// is known. The attempts that this ingress has sent to the target since its last report take the slots that were free then, or
// wait before the new one.
func (p *poolView) expectedWait(now time.Time, v *targetView, class fleet.Class, slots int) (time.Duration, bool) {
	if now.Sub(v.updatedAt) > loadLifetime && !now.Before(v.fullUntil) || v.load.Slots == 0 {
		return 0, false
	}
	wait := v.cost.wait.Wait(now)
	ahead := v.cost.sent
	if free := v.load.Slots - v.load.InFlight - v.load.Queued; wait == 0 && free > 0 {
		ahead -= free - 1
	}
	if ahead <= 0 {
		return wait, true
	}
	return wait + time.Duration(ahead)*p.runTime(now, v, class)/time.Duration(max(slots, 1)), true
}
