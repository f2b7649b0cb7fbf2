package tables

import (
	"math"
	"time"
)

const (
	// rearmPerPeer and longestRearm spread the watches that one change ends: 540 nodes start new ones over a second,
	// within the 2,000 reads a second that the platform accepts.
	rearmPerPeer = 2 * time.Millisecond
	longestRearm = time.Second
	// fetchPerPeer and longestFetch spread the reads of a new revision. Together with the longest rearm, the wait for one
	// peer and the reads themselves, a change is in force within 6 s.
	fetchPerPeer = 10 * time.Millisecond
	longestFetch = 3 * time.Second
	// firstRetry and longestRetry bound the delay after a failed call, which doubles with each failure. At 30 s, 540 nodes
	// make 18 to 36 calls a second during an outage and come back over half a minute after it.
	firstRetry   = time.Second
	longestRetry = 30 * time.Second
	// rejectedDelay comes before a revision that did not decode is read again. It can become readable only when someone
	// repairs the platform's values.
	rejectedDelay = time.Minute
)

// rearmDelay returns the delay before the next watch.
func (s State) rearmDelay(random uint64) time.Duration {
	return scale(min(longestRearm, rearmPerPeer*time.Duration(s.peers.Len())), lowFraction(random))
}

// fetchDelay returns the delay before a node reads a new revision from the platform. Its density grows exponentially, by
// the size of the fleet: few nodes draw a short delay and read the platform, and by the time the many others are due they
// have seen the revision at a peer. A node that serves nothing yet does not wait.
func (s State) fetchDelay(random uint64) time.Duration {
	if s.current.Revision == 0 {
		return 0
	}
	peers := s.peers.Len()
	longest := min(longestFetch, fetchPerPeer*time.Duration(peers))
	// With this growth about one node of the fleet is due in the first part of the time, whatever the fleet's size.
	growth := math.Log(float64(peers) + math.E)
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
