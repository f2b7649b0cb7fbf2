package replay

import (
	"math/rand/v2"
	"time"
)

// class is a class of requests.
type class int

const (
	order class = iota
	lookup
	// child is a request that a target makes while it runs a lookup.
	child
)

var classes = [...]class{order, lookup, child}

// classSpec holds the properties of a class of requests. The values are those of the Sicilian site.
type classSpec struct {
	// idempotent is true if requests may run more than once.
	idempotent bool
	// payoff is the value of a response within the goal, latePayoffShare the share of it that a later response has.
	payoff, latePayoffShare float64
	goal, deadline          time.Duration
	// meanWork is the mean duration of a run without its child request.
	meanWork time.Duration
	// childShare is the share of the runs that send a child request after half of their work.
	childShare float64
}

var classSpecs = [...]classSpec{
	order: {payoff: 2, latePayoffShare: 0.3, goal: time.Second, deadline: 2 * time.Second, meanWork: 290 * time.Millisecond},
	lookup: {idempotent: true, payoff: 1, latePayoffShare: 0.3, goal: time.Second, deadline: 2 * time.Second,
		meanWork: 380 * time.Millisecond, childShare: 0.7},
	child: {idempotent: true, goal: 250 * time.Millisecond, deadline: time.Second, meanWork: 72 * time.Millisecond},
}

// workSigma is the standard deviation of the logarithm of the duration of a run.
const workSigma = 0.4

// request is a request of a client, or a child request.
type request struct {
	id    string
	class class
	zone  int
	pool  string
	// account is the client account that sent the request; -1 if there is none.
	account int
	arrived time.Time
	// goal is the time after which a response loses most of its payoff, deadline the time after which the caller has gone.
	goal, deadline time.Time
	// parent is the run that sent a child request; nil for a request of a client.
	parent *run
	// random generates the durations and failures of its runs.
	random *rand.Rand
	// onEnd is called once with the result of the request; ended is true after that.
	onEnd func(requestResult)
	ended bool
	// costFactor multiplies the work of every run of the request, and work is the duration of the run that succeeded.
	costFactor float64
	work       time.Duration
}

// response is the kind of response that a caller received.
type response int

const (
	// noResponse means that no target responded.
	noResponse response = iota
	// successResponse is a successful response of a target, errorResponse an error response of a target.
	successResponse
	errorResponse
)

// requestResult is the result of a request for its caller.
type requestResult struct {
	response response
	// refused is true if the caller was told that the request did not run, aborted if a target aborted it.
	refused, aborted bool
	// zone is the availability zone of the target that responded.
	zone int
}
