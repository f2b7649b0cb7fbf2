package cost

import "time"

// briefShare is the share of the slack up to which a request waits where it is, before it goes to another zone. Waits are longer than
// expected if more requests arrive or a run takes longer than the mean.
const briefShare = 0.25

// WaitsBriefly reports whether a request with the given wait, run time and time to its goal leaves enough of its slack to meet the
// goal if the wait or the run takes longer than expected.
func WaitsBriefly(wait, run, toGoal time.Duration) bool {
	return float64(wait) <= briefShare*float64(toGoal-run)
}
