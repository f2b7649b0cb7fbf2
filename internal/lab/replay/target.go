package replay

import "time"

const (
	zones          = 3
	targetsPerZone = 2
	// slots is how many requests a target runs at once.
	slots = 4
	// breakAfter is how soon a failing target breaks a request off.
	breakAfter = 2 * time.Millisecond
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

// result is how a run ended.
type result int

const (
	ran result = iota
	// failedCall means that a call failed, so that the answer is an error.
	failedCall
	// broke means that the target broke off the run.
	broke
	// shed means that the target refused it.
	shed
	// canceled means that its policy gave it up, or that its deadline passed.
	canceled
)

// run is a request at work on a target.
type run struct {
	request *request
	target  *target
	// repeated means that a target had the request before, or the request that makes it as its call.
	repeated bool
	over     bool
	ended    func(result)
}

// begin runs a request. Its end comes later, once.
func (t *target) begin(r *request, repeated bool, ended func(result)) *run {
	s := t.site
	started := &run{request: r, target: t, repeated: repeated, ended: ended}
	t.running[started] = true
	s.started(r, repeated)
	k := kinds[r.class]
	work := lognormal(r.draws, k.work, workSpread)
	fails, calls := r.draws.Float64(), r.draws.Float64() < k.calls
	c := s.pattern.condition(t, s.elapsed())
	if c.slowdown > 1 {
		work = time.Duration(float64(work) * c.slowdown)
	}
	s.agenda.after(r.deadline.Sub(s.agenda.now), func() { started.end(canceled) })
	switch {
	case len(t.running) > slots, fails < c.sheds:
		s.agenda.after(time.Millisecond, func() { started.end(shed) })
	case fails < c.sheds+c.breaks:
		s.agenda.after(breakAfter, func() { started.end(broke) })
	case calls:
		s.agenda.after(work/2, func() { started.call(work / 2) })
	default:
		s.agenda.after(work, func() { started.end(ran) })
	}
	return started
}

// call makes a call and goes on with the rest of the work when it is answered.
func (r *run) call(rest time.Duration) {
	if r.over {
		return
	}
	s := r.target.site
	called := s.request(call, r.target.zone, r.request.draws)
	called.parent = r
	if r.request.deadline.Before(called.deadline) {
		called.deadline = r.request.deadline
	}
	called.ended = func(end ending) {
		if end.answer != whole {
			r.end(failedCall)
			return
		}
		s.agenda.after(rest, func() { r.end(ran) })
	}
	s.placer.arrived(called)
}

func (r *run) end(how result) {
	if r.over {
		return
	}
	r.over = true
	delete(r.target.running, r)
	r.ended(how)
}
