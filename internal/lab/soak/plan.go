package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	KillNode       Kind = "kill node"      // SIGKILL; restarted at the end
	StopNode       Kind = "stop node"      // SIGTERM; restarted at the end
	PauseNode      Kind = "pause node"     // SIGSTOP until the end
	Reload         Kind = "reload"         // SIGHUP
	KillTarget     Kind = "kill target"    // SIGKILL; restarted at the end
	StopTarget     Kind = "stop target"    // SIGTERM; restarted at the end
	PauseTarget    Kind = "pause target"   // SIGSTOP until the end
	FailTarget     Kind = "fail target"    // most requests fail
	SlowTarget     Kind = "slow target"    // requests take longer
	DelayLink      Kind = "delay link"     // bytes on the links to a node are delayed
	CutLink        Kind = "cut link"       // bytes of one direction are held back
	ResetLink      Kind = "reset link"     // open connections to a node are reset
	SilenceLink    Kind = "silence link"   // open connections to a node carry no more bytes
	CutPlatform    Kind = "cut platform"   // a node cannot reach the platform
	Outage         Kind = "outage"         // the platform responds with 503
	SilentPlatform Kind = "silent store"   // the platform does not respond
	SlowPlatform   Kind = "slow store"     // the platform responds late
	LostResponses  Kind = "lost answers"   // writes to the platform take effect without a response
	RestoredStore  Kind = "restored store" // the platform responds with 503, and is restored from a copy of before
	ChangeTables   Kind = "change tables"  // another revision is published
)

// weights are the relative frequencies of the kinds.
var weights = map[Kind]int{
	KillNode: 3, StopNode: 4, PauseNode: 3, Reload: 2, KillTarget: 3, StopTarget: 3, PauseTarget: 2, FailTarget: 3, SlowTarget: 2,
	DelayLink: 2, CutLink: 3, ResetLink: 3, SilenceLink: 3, CutPlatform: 2, Outage: 2, SilentPlatform: 1, SlowPlatform: 2,
	LostResponses: 2, ChangeTables: 6,
}

// Step is one fault of a plan.
type Step struct {
	Start, Duration time.Duration
	Kind            Kind
	// Node is the number of the node, from 1. Target is the number of one of its targets, from 1.
	Node, Target int
	// Backward is true if a cut link holds back the bytes of responses instead of those of requests.
	Backward bool
}

// String formats the step as a log line.
func (s Step) String() string {
	return fmt.Sprintf("%6.1fs %s, node %d, target %d, for %.1fs", s.Start.Seconds(), s.Kind, s.Node, s.Target, s.Duration.Seconds())
}

const (
	// minSeriesGap and maxSeriesGap bound the time between two series of faults. A series has at most maxSeriesLength faults,
	// each within maxFaultGap of the previous one. Most faults last longer than maxFaultGap, so that the faults of a series overlap.
	minSeriesGap    = 300 * time.Millisecond
	maxSeriesGap    = 3 * time.Second
	maxSeriesLength = 4
	maxFaultGap     = 700 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault. After half a second, a restarted process still finds
	// the state of its previous incarnation in the fleet; after four seconds, the fleet has declared the node dead.
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// maxRestorationGap bounds the time from the start of the run, or from the end of a restoration of the platform, to the next one.
	maxRestorationGap = 30 * time.Second
)

// NewPlan draws the faults of a run from the seed and returns them in the order of their starts.
func NewPlan(seed uint64, duration time.Duration, nodes int) []Step {
	random := rand.New(rand.NewPCG(seed, seed))
	between := func(shortest, longest time.Duration) time.Duration {
		return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
	}
	kinds := weightedKinds()
	var plan []Step
	for at := between(0, maxSeriesGap); at < duration; at += between(minSeriesGap, maxSeriesGap) {
		start := at
		for range 1 + random.IntN(maxSeriesLength) {
			step := Step{
				Start: start, Duration: between(minFaultDuration, maxFaultDuration), Kind: kinds[random.IntN(len(kinds))],
				Node: 1 + random.IntN(nodes), Target: 1 + random.IntN(targetsPerNode), Backward: random.IntN(2) == 0,
			}
			start += between(0, maxFaultGap)
			if step.Node == gracefulNode {
				step.Kind = gracefulKind(step.Kind)
			}
			if step.Start+step.Duration < duration {
				plan = append(plan, step)
			}
		}
	}
	plan = append(plan, restorations(seed, duration)...)
	slices.SortStableFunc(plan, func(a, b Step) int { return cmp.Compare(a.Start, b.Start) })
	return plan
}

// restorations draws the restorations of the platform. They have random numbers of their own, so that a seed keeps its other faults.
func restorations(seed uint64, duration time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, ^seed))
	var plan []Step
	for at := time.Duration(0); ; {
		step := Step{
			Start: at + time.Duration(random.Int64N(int64(maxRestorationGap))), Kind: RestoredStore, Node: 1, Target: 1,
			Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
		}
		if at = step.Start + step.Duration; at >= duration {
			return plan
		}
		plan = append(plan, step)
	}
}

// gracefulNode is the node that is only ever stopped gracefully, so that it must respond to every request that it has read.
const gracefulNode = 1

// gracefulKind returns the graceful replacement of a fault that kills or pauses a node, or the kind itself.
func gracefulKind(k Kind) Kind {
	if k == KillNode || k == PauseNode {
		return StopNode
	}
	return k
}

// weightedKinds returns each kind as many times as its weight, in an order that does not vary between runs. The order depends on
// the values of the kinds; a changed value changes the plan of every seed.
func weightedKinds() []Kind {
	var kinds []Kind
	for kind, weight := range weights {
		for range weight {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}
