package replay

import "time"

const (
	zones          = 3
	targetsPerZone = 2
	// slots is how many requests a target runs at once.
	slots = 4
	// breakDelay is how soon a failing target breaks a request off.
	breakDelay = 2 * time.Millisecond
)

// pools are the services. Lookups of the first one call the second one.
var pools = [...]string{"catalogue", "ordering"}

// target is one back end.
type target struct {
	site    *site
	index   int
	zone    int
	pool    string
	running map[*run]bool
}

// runResult is how a run ended.
type runResult int

const (
	ran runResult = iota
	// childFailed means that a call failed, so that the answer is an error.
	childFailed
	// broken means that the target broken off the run.
	broken
	// shed means that the target refused it.
	shed
	// canceled means that its policy gave it up, or that its deadline passed.
	canceled
)

// run is a request at work on a target.
type run struct {
	request *request
	target  *target
	// isRetry means that a target had the request before, or the request that makes it as its call.
	isRetry bool
	ended   bool
	onEnd   func(runResult)
}

// startRun runs a request. Its end comes later, once.
func (t *target) startRun(r *request, repeated bool, ended func(runResult)) *run {
	s := t.site
	started := &run{request: r, target: t, isRetry: repeated, onEnd: ended}
	t.running[started] = true
	s.runStarted(r, repeated)
	k := classSpecs[r.class]
	work := lognormal(r.draws, k.meanWork, workSigma)
	fails, calls := r.draws.Float64(), r.draws.Float64() < k.childShare
	c := s.pattern.condition(t, s.elapsed())
	if c.slowdown > 1 {
		work = time.Duration(float64(work) * c.slowdown)
	}
	s.queue.after(r.deadline.Sub(s.queue.now), func() { started.end(canceled) })
	switch {
	case len(t.running) > slots, fails < c.shedShare:
		s.queue.after(time.Millisecond, func() { started.end(shed) })
	case fails < c.shedShare+c.brokenShare:
		s.queue.after(breakDelay, func() { started.end(broken) })
	case calls:
		s.queue.after(work/2, func() { started.sendChild(work / 2) })
	default:
		s.queue.after(work, func() { started.end(ran) })
	}
	return started
}

// sendChild makes a sendChild and goes on with the rest of the work when it is answered.
func (r *run) sendChild(rest time.Duration) {
	if r.ended {
		return
	}
	s := r.target.site
	called := s.newRequest(child, r.target.zone, r.request.draws)
	called.parent = r
	if r.request.deadline.Before(called.deadline) {
		called.deadline = r.request.deadline
	}
	called.onEnd = func(end requestResult) {
		if end.response != successResponse {
			r.end(childFailed)
			return
		}
		s.queue.after(rest, func() { r.end(ran) })
	}
	s.scheduler.requestArrived(called)
}

func (r *run) end(how runResult) {
	if r.ended {
		return
	}
	r.ended = true
	delete(r.target.running, r)
	r.onEnd(how)
}
