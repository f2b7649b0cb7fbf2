package ejection

import (
	"time"

	"jayfold.dev/jayfold/internal/core/detection"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// leaseDuration is how long a promise lasts from the time its request was received. A target whose leases cannot be
// renewed returns to service within this time, and a restarted node ejects nothing for as long.
const leaseDuration = 6 * time.Second

// driftMargin is the share of a lease that the asker gives up for clocks of different rates. Clocks of hosts differ by
// less than 0.1%; 1% leaves room for virtual machines.
const driftMargin = 0.01

// renewInterval allows one lost round trip and one more try before a lease ends.
const renewInterval = leaseDuration / 3

// phase is where a local target stands.
type phase uint8

const (
	serving phase = iota
	asking
	ejected
)

// answer is a grantor's answer to the last request.
type answer uint8

const (
	pending answer = iota
	granted
	refused
	suspect
)

// lease is a grantor's promise as the asker knows it.
type lease struct {
	number uint64
	sent   time.Time
	// until is when the asker stops relying on the promise; zero before the first grant.
	until  time.Time
	answer answer
	// doubtful means that the grantor had just failed a request, or may be failing.
	doubtful bool
}

// promise is a lease as the grantor knows it.
type promise struct {
	number   uint64
	until    time.Time
	badShare float64
}

// local is a target of this host that failed lately.
type local struct {
	pool  fleet.PoolName
	floor int
	phase phase
	// failedAt is the time of the detector's last judgement, evidence what it rested on.
	failedAt time.Time
	evidence detection.Evidence
	// retry says that the target asks again at nextAsk.
	retry   bool
	nextAsk time.Time
	asked   time.Time
	// doubted is the end of the last round that was to be confirmed.
	doubted time.Time
	leases  fleet.Map[fleet.TargetID, lease]
	// held are the reasons logged for which the target was not ejected.
	held     fleet.Set[hold]
	recovery recovery
}

// usable returns how long after sending its request an asker may rely on a promise of the given duration.
func usable(promised time.Duration) time.Duration {
	return time.Duration(float64(min(promised, leaseDuration)) * (1 - driftMargin))
}

func (l lease) fresh(now time.Time) bool { return now.Before(l.until) }

// fresh returns the number of unexpired leases.
func (l local) fresh(now time.Time) int {
	count := 0
	for _, lease := range l.leases.All() {
		if lease.fresh(now) {
			count++
		}
	}
	return count
}

// needed returns the number of leases for an ejection. Ejecting the only target in service helps nobody, so a floor of 0
// counts as 1.
func (l local) needed() int { return max(l.floor, 1) }

func (l local) ejected(now time.Time) bool {
	return l.phase == ejected && l.fresh(now) >= l.needed()
}

// forgettable says that nothing about the target matters any more.
func (l local) forgettable(now time.Time) bool {
	return l.phase == serving && now.Sub(l.failedAt) >= healthyTime && now.Sub(l.recovery.returned) >= healthyTime
}

// withoutExpired returns the state without promises that have ended.
func (s State) withoutExpired(now time.Time) State {
	for grantor, askers := range s.promises.All() {
		kept := askers
		for asker, p := range askers.All() {
			if !now.Before(p.until) {
				kept = kept.Without(asker)
			}
		}
		if kept.Len() != askers.Len() {
			s = s.withPromises(grantor, kept)
		}
	}
	return s
}

func (s State) withPromises(grantor fleet.TargetID, askers fleet.Map[fleet.TargetID, promise]) State {
	if askers.Len() == 0 {
		s.promises = s.promises.Without(grantor)
	} else {
		s.promises = s.promises.With(grantor, askers)
	}
	return s
}

// promised reports whether a local target has a live promise.
func (s State) promised(now time.Time, grantor fleet.TargetID) bool {
	askers, _ := s.promises.Get(grantor)
	for _, p := range askers.All() {
		if now.Before(p.until) {
			return true
		}
	}
	return false
}
