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
	// call is a request that a target makes while it runs a lookup.
	call
)

var classes = [...]class{order, lookup, call}

// kind is what requests of a class have in common. The figures are those of the Sicilian site.
type kind struct {
	// idempotent requests may run more than once.
	idempotent bool
	// worth is the payoff of an answer within the goal, and late the part of it that a later one earns.
	worth, late    float64
	goal, deadline time.Duration
	// work is the mean time that a run takes, beside that of its calls.
	work time.Duration
	// calls is the share of the runs that make a call at half of their work.
	calls float64
}

var kinds = [...]kind{
	order:  {worth: 2, late: 0.3, goal: time.Second, deadline: 2 * time.Second, work: 290 * time.Millisecond},
	lookup: {idempotent: true, worth: 1, late: 0.3, goal: time.Second, deadline: 2 * time.Second, work: 380 * time.Millisecond, calls: 0.7},
	call:   {idempotent: true, goal: 250 * time.Millisecond, deadline: time.Second, work: 72 * time.Millisecond},
}

// workSpread is the standard deviation of the logarithm of a run's time.
const workSpread = 0.4

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
	// ended takes the end of the request, once; over means that it has.
	ended func(ending)
	over  bool
}

// answer says what a caller got.
type answer int

const (
	// none is no answer of a target.
	none answer = iota
	// whole is the answer of a target, and erred its error.
	whole
	erred
)

// ending is how a request ended.
type ending struct {
	answer answer
	// refused means that the caller was told that the request did not run, and broken that a target broke it off.
	refused, broken bool
	// zone is that of the target that answered.
	zone int
}
