package replay

import (
	"math/rand/v2"
	"time"
)

// class is a kind of request.
type class int

const (
	order class = iota
	lookup
	// child is a request that a target makes while it runs a lookup.
	child
)

var classes = [...]class{order, lookup, child}

// classSpec is what requests of a class have in common. The figures are those of the Sicilian site.
type classSpec struct {
	// idempotent requests may run more than once.
	idempotent bool
	// payoff is the payoff of an answer within the goal, and latePayoffShare the part of it that a later one earns.
	payoff, latePayoffShare float64
	goal, deadline          time.Duration
	// meanWork is the mean time that a run takes, beside that of its calls.
	meanWork time.Duration
	// childShare is the share of the runs that make a call at half of their work.
	childShare float64
}

var classSpecs = [...]classSpec{
	order:  {payoff: 2, latePayoffShare: 0.3, goal: time.Second, deadline: 2 * time.Second, meanWork: 290 * time.Millisecond},
	lookup: {idempotent: true, payoff: 1, latePayoffShare: 0.3, goal: time.Second, deadline: 2 * time.Second, meanWork: 380 * time.Millisecond, childShare: 0.7},
	child:  {idempotent: true, goal: 250 * time.Millisecond, deadline: time.Second, meanWork: 72 * time.Millisecond},
}

// workSigma is the standard deviation of the logarithm of a run's time.
const workSigma = 0.4

// request is one request of a client, or a call.
type request struct {
	id      string
	class   class
	zone    int
	pool    string
	arrived time.Time
	// goal is when its answer loses most of its worth, deadline when nobody waits for it any more.
	goal, deadline time.Time
	// parent is the run that makes the call.
	parent *run
	// draws are the times and failures of its runs.
	draws *rand.Rand
	// onEnd takes the end of the request, once; over means that it has.
	onEnd func(requestResult)
	ended bool
}

// response says what a caller got.
type response int

const (
	// noResponse is no answer of a target.
	noResponse response = iota
	// successResponse is the answer of a target, and erred its error.
	successResponse
	errorResponse
)

// requestResult is how a request ended.
type requestResult struct {
	response response
	// refused means that the caller was told that the request did not run, and broken that a target broke it off.
	refused, broken bool
	// zone is that of the target that answered.
	zone int
}
