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
	KillNode      Kind = "kill node"     // SIGKILL, and a new start at the end
	StopNode      Kind = "stop node"     // SIGTERM, and a new start at the end
	PauseNode     Kind = "pause node"    // SIGSTOP until the end
	Reload        Kind = "reload"        // SIGHUP
	KillTarget    Kind = "kill target"   // SIGKILL, and a new start at the end
	StopTarget    Kind = "stop target"   // SIGTERM, and a new start at the end
	PauseTarget   Kind = "pause target"  // SIGSTOP until the end
	FailTarget    Kind = "fail target"   // most requests fail
	SlowTarget    Kind = "slow target"   // requests take longer
	DelayLink     Kind = "delay link"    // bytes to a node come late
	CutLink       Kind = "cut link"      // bytes of one direction wait
	ResetLink     Kind = "reset link"    // open connections to a node are reset
	SilenceLink   Kind = "silence link"  // open connections to a node carry nothing any more
	CutPlatform   Kind = "cut platform"  // a node does not reach the platform
	Outage        Kind = "outage"        // the platform answers 503
	SilentStore   Kind = "silent store"  // the platform does not answer
	SlowStore     Kind = "slow store"    // the platform answers late
	LostResponses Kind = "lost answers"  // writes on the platform take effect and are not answered
	ChangeTables  Kind = "change tables" // another revision is applied
)

// weights are how often each kind is drawn, in relation to the others.
var weights = map[Kind]int{
	KillNode: 3, StopNode: 4, PauseNode: 3, Reload: 2, KillTarget: 3, StopTarget: 3, PauseTarget: 2, FailTarget: 3, SlowTarget: 2,
	DelayLink: 2, CutLink: 3, ResetLink: 3, SilenceLink: 3, CutPlatform: 2, Outage: 2, SilentStore: 1, SlowStore: 2, LostResponses: 2,
	ChangeTables: 6,
}

// Step is one fault of a plan.
type Step struct {
	Start, Duration time.Duration
	Kind            Kind
	// Node is the number of the node, from 1. Target is that of one of its two targets.
	Node, Target int
	// Backward tells which direction of a link is cut: that of the answers.
	Backward bool
}

// String returns the step as a line of text.
func (s Step) String() string {
	return fmt.Sprintf("%6.1fs %s, node %d, target %d, for %.1fs", s.Start.Seconds(), s.Kind, s.Node, s.Target, s.Duration.Seconds())
}

const (
	// shortestGap and longestGap bound the time between two series, and seriesLength the faults of one, which follow within
	// seriesGap of each other. The faults of a series last longer than the gap, so that they overlap.
	shortestGap  = 300 * time.Millisecond
	longestGap   = 3 * time.Second
	seriesLength = 4
	seriesGap    = 700 * time.Millisecond
	// shortestFault and longestFault bound how long a fault lasts. A restart within half a second meets what the first life
	// left behind, one after four seconds a fleet that has taken the node for dead.
	shortestFault = 500 * time.Millisecond
	longestFault  = 4 * time.Second
)

// NewPlan draws the faults of a run, in the order of their beginnings.
func NewPlan(seed uint64, length time.Duration, nodes int) []Step {
	random := rand.New(rand.NewPCG(seed, seed))
	span := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	kinds := drawable()
	var plan []Step
	for at := span(0, longestGap); at < length; at += span(shortestGap, longestGap) {
		begin := at
		for range 1 + random.IntN(seriesLength) {
			step := Step{
				Start: begin, Duration: span(shortestFault, longestFault), Kind: kinds[random.IntN(len(kinds))],
				Node: 1 + random.IntN(nodes), Target: 1 + random.IntN(targetsPerNode), Backward: random.IntN(2) == 0,
			}
			begin += span(0, seriesGap)
			if step.Node == gracefulNode {
				step.Kind = gracefully(step.Kind)
			}
			if step.Start+step.Duration < length {
				plan = append(plan, step)
			}
		}
	}
	slices.SortStableFunc(plan, func(a, b Step) int { return cmp.Compare(a.Start, b.Start) })
	return plan
}

// gracefulNode is the node that is only ever stopped as planned, so that every request which it has read must be answered.
const gracefulNode = 1

// gracefully returns what takes the place of a fault that ends a node without notice.
func gracefully(k Kind) Kind {
	if k == KillNode || k == PauseNode {
		return StopNode
	}
	return k
}

// drawable lists each kind as often as its weight says, always in the same order.
func drawable() []Kind {
	var kinds []Kind
	for kind, weight := range weights {
		for range weight {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}
