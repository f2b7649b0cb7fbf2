package replay

import "time"

// The baselines know every queue of the site, answer nothing early and run requests in the order of arrival. A request that may
// run again is sent to a second target when the first one breaks it off, as long as the retry budget of the whole site allows it.
const baselineAttempts = 2

// FirstComeFirstServed sends each request to the shortest queue of its pool.
var FirstComeFirstServed = Policy{Name: "first come first served", newScheduler: func(s *site) scheduler {
	return newBaseline(s, func(among []*targetQueue) *targetQueue {
		best := among[0]
		for _, l := range among[1:] {
			if l.length() < best.length() {
				best = l
			}
		}
		return best
	})
}}

// RandomChoice sends each request to a random target of its pool.
var RandomChoice = Policy{Name: "random choice", newScheduler: func(s *site) scheduler {
	return newBaseline(s, func(among []*targetQueue) *targetQueue {
		return among[s.policyRandom.IntN(len(among))]
	})
}}

// baseline is a baseline at work.
type baseline struct {
	site   *site
	queues map[string][]*targetQueue
	choose func([]*targetQueue) *targetQueue
}

// targetQueue is a target with its queue.
type targetQueue struct {
	target *target
	queue  []*baselineRequest
}

func (l *targetQueue) length() int { return len(l.target.running) + len(l.queue) }

// baselineRequest is a request on its way through one or two targets.
type baselineRequest struct {
	request  *request
	attempts int
	// mayHaveRun means that a target may have run it.
	mayHaveRun bool
}

func newBaseline(s *site, choose func([]*targetQueue) *targetQueue) scheduler {
	b := &baseline{site: s, queues: map[string][]*targetQueue{}, choose: choose}
	for _, t := range s.targets {
		b.queues[t.pool] = append(b.queues[t.pool], &targetQueue{target: t})
	}
	return scheduler{requestArrived: b.requestArrived, routesChanged: func() {}}
}

func (b *baseline) requestArrived(r *request) {
	v := &baselineRequest{request: r}
	b.site.queue.after(r.deadline.Sub(b.site.queue.now), func() { v.finish(requestResult{refused: !v.mayHaveRun}) })
	b.enqueue(v)
}

func (b *baseline) enqueue(v *baselineRequest) {
	l := b.choose(b.queues[v.request.pool])
	l.queue = append(l.queue, v)
	b.startQueued(l)
}

// startQueued starts what waits for a target, as far as it has free slots.
func (b *baseline) startQueued(l *targetQueue) {
	for len(l.queue) > 0 && len(l.target.running) < slots {
		v := l.queue[0]
		l.queue = l.queue[1:]
		if v.request.ended {
			continue
		}
		v.attempts++
		repeated := v.mayHaveRun || v.request.parent != nil && v.request.parent.isRetry
		v.mayHaveRun = true
		l.target.startRun(v.request, repeated, func(how runResult) {
			b.runFinished(v, l, how)
			b.startQueued(l)
		})
	}
}

func (b *baseline) runFinished(v *baselineRequest, l *targetQueue, how runResult) {
	switch {
	case how == ran:
		v.finish(requestResult{response: successResponse, zone: l.target.zone})
	case how == childFailed:
		v.finish(requestResult{response: errorResponse, zone: l.target.zone})
	case v.request.ended || v.attempts >= baselineAttempts || !b.site.retryUsage[v.request.pool].allowsRetry(b.site.queue.now):
		v.finish(requestResult{refused: how == shed, broken: how == broken})
	case how == shed, how == broken && classSpecs[v.request.class].idempotent:
		b.site.queue.after(time.Millisecond, func() { b.enqueue(v) })
	default:
		v.finish(requestResult{broken: how == broken})
	}
}

func (v *baselineRequest) finish(end requestResult) {
	if !v.request.ended {
		v.request.ended = true
		v.request.onEnd(end)
	}
}
