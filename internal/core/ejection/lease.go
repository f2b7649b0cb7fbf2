package ejection

import (
	"time"

	"jayfold.dev/jayfold/internal/core/detection"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// leaseDuration is how long a grant lasts, counted from the receipt of the request. A target that cannot renew its leases
// returns to service within this time, and a restarted node ejects no target for as long.
const leaseDuration = 6 * time.Second

// driftMargin is the fraction of a lease that the requester subtracts because clocks run at different rates. Clocks of hosts
// differ by less than 0.1%; 1% leaves room for virtual machines.
const driftMargin = 0.01

// renewInterval is the time after which a lease is requested again. It leaves time for one lost round trip and one retry before
// the lease expires.
const renewInterval = leaseDuration / 3

// phase is the state of a local target.
type phase uint8

const (
	inService phase = iota
	requesting
	ejected
)

// reply is a grantor's reply to the last request.
type reply uint8

const (
	replyPending reply = iota
	replyGranted
	replyRefused
	replySuspect
)

// lease is an in-service lease as its requester knows it.
type lease struct {
	number    uint64
	requested time.Time
	// validUntil is when the requester stops relying on the lease; zero before the first grant.
	validUntil time.Time
	reply      reply
	// recentlyFailed is true if the grantor had just failed a request or may be failing.
	recentlyFailed bool
}

// grant is an in-service lease as its grantor knows it.
type grant struct {
	number  uint64
	expires time.Time
	// badShare is the fraction of bad requests with which the requester was found failing.
	badShare float64
}

// localTarget is a target on this host that was recently found failing.
type localTarget struct {
	pool  fleet.PoolName
	floor int
	phase phase
	// failedAt is when the detector last found the target failing, evidence the statistics behind that judgement.
	failedAt time.Time
	evidence detection.Evidence
	// retrying is true if the target starts another round at nextRound.
	retrying     bool
	nextRound    time.Time
	roundStarted time.Time
	// inconclusiveAt is the end of the last inconclusive round.
	inconclusiveAt time.Time
	leases         fleet.Map[fleet.TargetID, lease]
	// loggedHolds holds the reasons for keeping the target in service that have been logged already.
	loggedHolds fleet.Set[holdReason]
	recovery    recovery
}

// usableDuration returns how long after sending its request a requester may rely on a grant of the given duration.
func usableDuration(granted time.Duration) time.Duration {
	return time.Duration(float64(min(granted, leaseDuration)) * (1 - driftMargin))
}

func (l lease) isValid(now time.Time) bool { return now.Before(l.validUntil) }

// validLeases returns the number of unexpired leases.
func (l localTarget) validLeases(now time.Time) int {
	count := 0
	for _, lease := range l.leases.All() {
		if lease.isValid(now) {
			count++
		}
	}
	return count
}

// neededLeases returns the number of leases that an ejection needs. Ejecting the only target in service helps no request, so a
// floor of 0 counts as 1.
func (l localTarget) neededLeases() int { return max(l.floor, 1) }

func (l localTarget) isEjected(now time.Time) bool {
	return l.phase == ejected && l.validLeases(now) >= l.neededLeases()
}

// isForgettable reports whether the target's state has no effect any more.
func (l localTarget) isForgettable(now time.Time) bool {
	return l.phase == inService && now.Sub(l.failedAt) >= healthyDuration && now.Sub(l.recovery.returnedAt) >= healthyDuration
}

// withoutExpiredGrants returns the state without the grants that have expired.
func (s State) withoutExpiredGrants(now time.Time) State {
	for grantor, byRequester := range s.grants.All() {
		kept := byRequester
		for requester, g := range byRequester.All() {
			if !now.Before(g.expires) {
				kept = kept.Without(requester)
			}
		}
		if kept.Len() != byRequester.Len() {
			s = s.withGrants(grantor, kept)
		}
	}
	return s
}

func (s State) withGrants(grantor fleet.TargetID, byRequester fleet.Map[fleet.TargetID, grant]) State {
	if byRequester.Len() == 0 {
		s.grants = s.grants.Without(grantor)
	} else {
		s.grants = s.grants.With(grantor, byRequester)
	}
	return s
}

// hasLiveGrant reports whether a local target has granted a lease that has not expired.
func (s State) hasLiveGrant(now time.Time, grantor fleet.TargetID) bool {
	byRequester, _ := s.grants.Get(grantor)
	for _, g := range byRequester.All() {
		if now.Before(g.expires) {
			return true
		}
	}
	return false
}
