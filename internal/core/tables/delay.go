package tables

import (
	"math"
	"time"
)

const (
	// rearmPerMember and longestRearm spread the watches that one change ends: 540 nodes start new ones over a second,
	// within the 2,000 reads a second that the platform accepts.
	rearmPerMember = 2 * time.Millisecond
	longestRearm   = time.Second
	// fetchPerMember and longestFetch spread the reads of a new revision. Together with the longest rearm, the wait for one
	// peer and the reads themselves, a change is in force within 6 s.
	fetchPerMember = 10 * time.Millisecond
	longestFetch   = 3 * time.Second
	// watchPerMember, shortestWatch and longestWatch set how long a watch waits. An answer that the platform lost is noticed
	// at the watch's end. The watches of a fleet end at different times, about one every 0.6 s in a fleet of up to 30 nodes,
	// and a node that reads a new revision then tells its peers, so that a change is in force within 6 s although every
	// watch lost its answer.
	watchPerMember = time.Second
	shortestWatch  = 3 * time.Second
	longestWatch   = 30 * time.Second
	// longestStale bounds the wait of a watch on a copy: a node that has to take the place of a watcher does so at its end.
	longestStale = 10 * time.Second
	// firstRetry and longestRetry bound the delay after a failed call, which doubles with each failure. At 10 s, 540 nodes
	// make 54 to 108 calls a second during an outage, and a change made right after it is in force within 6 s: the first
	// nodes find it at once and their peers ask them. With 30 s it took 6.5 s.
	firstRetry   = time.Second
	longestRetry = 10 * time.Second
	// spreadFailures is the number of failures in a row after which the retries alone spread the nodes over 2 s or more, so
	// that no delay before a fetch is needed.
	spreadFailures = 3
	// rejectedDelay comes before a revision that did not decode is read again. It can become readable only when someone
	// repairs the platform's values.
	rejectedDelay = time.Minute
)

// watchWait returns how long a watch waits in a fleet of the given size: up to the longest wait for that size, and less
// for most, since all watches start together when a change has ended them.
func watchWait(random uint64, f Fleet) time.Duration {
	longest := min(longestWatch, max(shortestWatch, watchPerMember*time.Duration(f.Members)))
	if !f.IsWatcher {
		longest = min(longest, longestStale)
	}
	return shortestWatch + scale(longest-shortestWatch, lowFraction(random))
}

// rearmDelay returns the delay before the next watch in a fleet of the given size.
func rearmDelay(random uint64, members int) time.Duration {
	return scale(min(longestRearm, rearmPerMember*time.Duration(members)), lowFraction(random))
}

// fetchDelay returns the delay before a node reads a new revision from the platform. Its density grows exponentially, by
// the size of the fleet: few nodes draw a short delay and read the platform, and by the time the many others are due they
// have seen the revision at a peer. A node that serves nothing yet, or comes back after an outage, does not wait.
func (s State) fetchDelay(random uint64, members int) time.Duration {
	if s.current.Revision == 0 || s.watch.failures >= spreadFailures {
		return 0
	}
	longest := min(longestFetch, fetchPerMember*time.Duration(members))
	// With this growth about one node of the fleet is due in the first part of the time, whatever the fleet's size.
	growth := math.Log(float64(members) + math.E)
	return scale(longest, math.Log1p(highFraction(random)*math.Expm1(growth))/growth)
}

// retryDelay returns the delay after the given number of failures in a row: at least half of the doubling bound, so that
// nodes that failed at the same time come back at different times.
func retryDelay(random uint64, failures int) time.Duration {
	longest := longestRetry
	if doublings := failures - 1; doublings < 5 {
		longest = min(longestRetry, firstRetry<<doublings)
	}
	return scale(longest, (1+lowFraction(random))/2)
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// lowFraction and highFraction draw two independent numbers in [0, 1) from the two halves of one random number.
func lowFraction(random uint64) float64  { return float64(uint32(random)) / (1 << 32) }
func highFraction(random uint64) float64 { return float64(random>>32) / (1 << 32) }
