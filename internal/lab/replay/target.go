package replay

import "time"

const (
	zones          = 3
	targetsPerZone = 2
	// slotsPerTarget is the number of requests that a target runs concurrently.
	slotsPerTarget = 4
	// abortDelay is the time that a request runs before the target aborts it.
	abortDelay = 2 * time.Millisecond
)

// pools lists the names of the pools. Lookups run in the first one and send child requests to the second one.
var pools = [...]string{"catalogue", "ordering"}

// target is a simulated target.
type target struct {
	site    *site
	index   int
	zone    int
	pool    string
	running map[*run]bool
	// startedAt is the start time of the target's process.
	startedAt time.Time
}

// runResult is the result of a run.
type runResult int

const (
	ran runResult = iota
	// childFailed: a child request failed, so that the response is an error.
	childFailed
	// aborted: the target aborted the run.
	aborted
	// shed: the target shed the request.
	shed
	// canceled: the policy canceled the run, or its deadline passed.
	canceled
)

// run is the execution of a request on a target.
type run struct {
	request *request
	target  *target
	// isRetry is true if the request, or its parent request, was already sent to a target.
	isRetry bool
	ended   bool
	// work is the duration of the run, with that of its child request, without waits.
	work  time.Duration
	onEnd func(runResult)
}

// startRun runs a request on the target. It calls onEnd once, after it has returned.
func (t *target) startRun(r *request, isRetry bool, onEnd func(runResult)) *run {
	s := t.site
	started := &run{request: r, target: t, isRetry: isRetry, onEnd: onEnd}
	t.running[started] = true
	s.runStarted(r, isRetry)
	spec := classSpecs[r.class]
	work := s.pattern.work(r, spec.meanWork)
	failureDraw, sendsChild := r.random.Float64(), r.random.Float64() < spec.childShare
	c := s.pattern.condition(t, s.elapsed())
	if c.slowdown > 1 {
		work = time.Duration(float64(work) * c.slowdown)
	}
	if s.pattern.slowdownAt != nil {
		work = time.Duration(float64(work) * s.pattern.slowdownAt(t, s.elapsed()))
	}
	started.work = work
	s.clock.after(r.deadline.Sub(s.clock.now), func() { started.end(canceled) })
	switch {
	case len(t.running) > slotsPerTarget, failureDraw < c.shedShare:
		s.clock.after(time.Millisecond, func() { started.end(shed) })
	case failureDraw < c.shedShare+c.abortShare:
		s.clock.after(abortDelay, func() { started.end(aborted) })
	case sendsChild:
		s.clock.after(work/2, func() { started.sendChild(work / 2) })
	default:
		s.clock.after(work, func() { started.end(ran) })
	}
	return started
}

// sendChild sends a child request and does the rest of the work after its response.
func (r *run) sendChild(rest time.Duration) {
	if r.ended {
		return
	}
	s := r.target.site
	childRequest := s.newRequest(child, r.target.zone, r.request.random)
	childRequest.parent = r
	if r.request.deadline.Before(childRequest.deadline) {
		childRequest.deadline = r.request.deadline
	}
	childRequest.onEnd = func(result requestResult) {
		if result.response != successResponse {
			r.end(childFailed)
			return
		}
		r.work += childRequest.work
		s.clock.after(rest, func() { r.end(ran) })
	}
	s.scheduler.requestArrived(childRequest)
}

func (r *run) end(result runResult) {
	if r.ended {
		return
	}
	r.ended = true
	delete(r.target.running, r)
	if result == ran {
		r.request.work = r.work
	}
	r.onEnd(result)
}
