package tables

import (
	"math"
	"time"
)

const (
	// rewatchDelayPerMember and maxRewatchDelay spread the watches that start again after a change has ended all of them: 540
	// nodes start them over a second, below the platform's limit of 2,000 reads per second.
	rewatchDelayPerMember = 2 * time.Millisecond
	maxRewatchDelay       = time.Second
	// fetchDelayPerMember and maxFetchDelay spread the reads of a new revision. Together with maxRewatchDelay, the timeout of
	// one request to a peer and the reads themselves, a change is in force within 6 s.
	fetchDelayPerMember = 10 * time.Millisecond
	maxFetchDelay       = 3 * time.Second
	// watchWaitPerMember, watchWaitPerZoneMember, minWatchWait and maxWatchWait set how long a watch waits. A lost response, or a
	// platform that was restored while the connection lived on, is noticed only when the watch ends. The watches of a fleet end at
	// different times, about one every 0.6 s in a fleet of up to 30 nodes and one every 3 s in each zone, and a node that then reads
	// a new revision notifies its zone. A change is therefore in force within 6 s even if the responses to all watches are lost,
	// also on a node that is alone in its zone.
	watchWaitPerMember     = time.Second
	watchWaitPerZoneMember = 3 * time.Second
	minWatchWait           = 3 * time.Second
	maxWatchWait           = 30 * time.Second
	// waitAfterFailure is the wait of a watch after a failed one. The platform may have been restored from a copy meanwhile, which only a
	// response shows.
	waitAfterFailure = 100 * time.Millisecond
	// initialRetryDelay bounds the delay after a failed call, which doubles with each failure up to retryDelayPerMember for each
	// node of the zone, at most maxRetryDelay. In zones of 77, 540 nodes make 54 to 108 calls per second during an outage, and a
	// change made right after the outage is in force within 6 s: the first nodes read it at once and their peers request it from
	// them. With 30 s it takes 6.5 s. The nodes of a small zone repeat their calls at least once a second, since few peers or none
	// could tell them of a change.
	initialRetryDelay   = time.Second
	retryDelayPerMember = 130 * time.Millisecond
	maxRetryDelay       = 10 * time.Second
	// failuresWithoutFetchDelay is the number of consecutive failures after which the retry delays alone spread the nodes over
	// at least 2 s, so that a fetch needs no delay of its own.
	failuresWithoutFetchDelay = 3
	// rejectedRetryDelay is the delay before a rejected revision is read again. The revision becomes valid only when an
	// operator repairs the objects on the platform.
	rejectedRetryDelay = time.Minute
)

// watchWait returns how long the next watch waits. The wait is random, up to a maximum that depends on the sizes of the fleet and of
// the zone, because all watches start at about the same time after a change and must not end together.
func watchWait(random uint64, f Fleet) time.Duration {
	perFleet := watchWaitPerMember * time.Duration(f.Members)
	perZone := watchWaitPerZoneMember * time.Duration(f.ZoneMembers)
	longest := max(minWatchWait, min(maxWatchWait, perFleet, perZone))
	return minWatchWait + scale(longest-minWatchWait, lowFraction(random))
}

// rewatchDelay returns the delay before the next watch in a fleet with the given number of members.
func rewatchDelay(random uint64, members int) time.Duration {
	return scale(min(maxRewatchDelay, rewatchDelayPerMember*time.Duration(members)), lowFraction(random))
}

// fetchDelay returns the delay before this node reads a new revision from the platform. A few nodes draw a short delay and read the
// platform, and the others have the revision from a peer before their delay ends. There is no delay without tables or after an outage.
func (s State) fetchDelay(random uint64, members int) time.Duration {
	if s.current.Revision == 0 || s.watch.failures >= failuresWithoutFetchDelay {
		return 0
	}
	return spreadDelay(random, members)
}

// spreadDelay returns a delay before a call to the platform that few nodes of a fleet need to make. Its probability density grows
// exponentially from the shortest to the longest delay, by a factor of about the size of the fleet.
func spreadDelay(random uint64, members int) time.Duration {
	longest := min(maxFetchDelay, fetchDelayPerMember*time.Duration(members))
	// With this growth about one node draws a delay from the first 1/growth of the range, whatever the size of the fleet.
	growth := math.Log(float64(members) + math.E)
	return scale(longest, math.Log1p(highFraction(random)*math.Expm1(growth))/growth)
}

// retryDelay returns the delay after the given number of consecutive failures. It is drawn from the upper half of the backoff
// bound, so that nodes whose calls failed at the same time retry at different times.
func retryDelay(random uint64, failures int, f Fleet) time.Duration {
	longest := min(maxRetryDelay, max(initialRetryDelay, retryDelayPerMember*time.Duration(f.ZoneMembers)))
	if doublings := failures - 1; doublings < 5 {
		longest = min(longest, initialRetryDelay<<doublings)
	}
	return scale(longest, (1+lowFraction(random))/2)
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// lowFraction and highFraction return independent numbers in [0, 1) from the two halves of one random number.
func lowFraction(random uint64) float64  { return float64(uint32(random)) / (1 << 32) }
func highFraction(random uint64) float64 { return float64(random>>32) / (1 << 32) }
