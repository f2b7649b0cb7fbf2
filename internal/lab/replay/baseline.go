package replay

import "time"

// baselineAttempts is the largest number of attempts of a request under a baseline. The baselines know the queue lengths of all
// targets, refuse no request early and run requests in the order of arrival. They retry a request that was shed, or that is
// idempotent and was aborted, if the retry budget of its pool, counted over the whole site, allows it.
const baselineAttempts = 2

// FirstComeFirstServed sends each request to the shortest queue of its pool.
var FirstComeFirstServed = Policy{Name: "first come first served", newScheduler: func(s *site) scheduler {
	return newBaseline(s, func(queues []*targetQueue) *targetQueue {
		best := queues[0]
		for _, q := range queues[1:] {
			if q.length() < best.length() {
				best = q
			}
		}
		return best
	})
}}

// RandomChoice sends each request to a random target of its pool.
var RandomChoice = Policy{Name: "random choice", newScheduler: func(s *site) scheduler {
	return newBaseline(s, func(queues []*targetQueue) *targetQueue {
		return queues[s.policyRandom.IntN(len(queues))]
	})
}}

// baseline schedules the requests of one site under a baseline policy.
type baseline struct {
	site   *site
	queues map[string][]*targetQueue
	choose func([]*targetQueue) *targetQueue
}

// targetQueue is a target with the queue of requests that wait for it.
type targetQueue struct {
	target *target
	queue  []*baselineRequest
}

// length returns the number of running and queued requests.
func (q *targetQueue) length() int { return len(q.target.running) + len(q.queue) }

// baselineRequest is a request with the state of its attempts.
type baselineRequest struct {
	request  *request
	attempts int
	// mayHaveRun is true if an attempt has started on a target.
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
	br := &baselineRequest{request: r}
	b.site.clock.after(r.deadline.Sub(b.site.clock.now), func() { br.finish(requestResult{refused: !br.mayHaveRun}) })
	b.enqueue(br)
}

func (b *baseline) enqueue(br *baselineRequest) {
	q := b.choose(b.queues[br.request.pool])
	q.queue = append(q.queue, br)
	b.startQueued(q)
}

// startQueued starts queued requests while their target has free slots.
func (b *baseline) startQueued(q *targetQueue) {
	for len(q.queue) > 0 && len(q.target.running) < slotsPerTarget {
		br := q.queue[0]
		q.queue = q.queue[1:]
		if br.request.ended {
			continue
		}
		br.attempts++
		isRetry := br.mayHaveRun || br.request.parent != nil && br.request.parent.isRetry
		br.mayHaveRun = true
		if q.target.zone != br.request.zone {
			b.site.crossed()
		}
		q.target.startRun(br.request, isRetry, func(result runResult) {
			b.runFinished(br, q, result)
			b.startQueued(q)
		})
	}
}

func (b *baseline) runFinished(br *baselineRequest, q *targetQueue, result runResult) {
	switch {
	case result == ran:
		br.finish(requestResult{response: successResponse, zone: q.target.zone})
	case result == childFailed:
		br.finish(requestResult{response: errorResponse, zone: q.target.zone})
	case br.request.ended || br.attempts >= baselineAttempts || !b.site.retryUsage[br.request.pool].allowsRetry(b.site.clock.now):
		br.finish(requestResult{refused: result == shed, aborted: result == aborted})
	case result == shed, result == aborted && classSpecs[br.request.class].idempotent:
		b.site.clock.after(time.Millisecond, func() { b.enqueue(br) })
	default:
		br.finish(requestResult{aborted: result == aborted})
	}
}

func (br *baselineRequest) finish(result requestResult) {
	if !br.request.ended {
		br.request.ended = true
		br.request.onEnd(result)
	}
}
