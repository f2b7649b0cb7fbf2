package replay

import "time"

// The baselines know every queue of the site, answer nothing early and run requests in the order of arrival. A request that may
// run again is sent to a second target when the first one breaks it off, as long as the retry budget of the whole site allows it.
const baselineAttempts = 2

// FirstComeFirstServed sends each request to the shortest queue of its pool.
var FirstComeFirstServed = Policy{Name: "first come first served", start: func(s *site) placer {
	return newBaseline(s, func(among []*line) *line {
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
var RandomChoice = Policy{Name: "random choice", start: func(s *site) placer {
	return newBaseline(s, func(among []*line) *line {
		return among[s.choices.IntN(len(among))]
	})
}}

// baseline is a baseline at work.
type baseline struct {
	site   *site
	lines  map[string][]*line
	choose func([]*line) *line
}

// line is a target with its queue.
type line struct {
	target *target
	queue  []*visit
}

func (l *line) length() int { return len(l.target.running) + len(l.queue) }

// visit is a request on its way through one or two targets.
type visit struct {
	request *request
	tries   int
	// started means that a target may have run it.
	started bool
}

func newBaseline(s *site, choose func([]*line) *line) placer {
	b := &baseline{site: s, lines: map[string][]*line{}, choose: choose}
	for _, t := range s.targets {
		b.lines[t.pool] = append(b.lines[t.pool], &line{target: t})
	}
	return placer{arrived: b.arrived, moved: func() {}}
}

func (b *baseline) arrived(r *request) {
	v := &visit{request: r}
	b.site.agenda.after(r.deadline.Sub(b.site.agenda.now), func() { v.end(ending{refused: !v.started}) })
	b.send(v)
}

func (b *baseline) send(v *visit) {
	l := b.choose(b.lines[v.request.pool])
	l.queue = append(l.queue, v)
	b.next(l)
}

// next starts what waits for a target, as far as it has free slots.
func (b *baseline) next(l *line) {
	for len(l.queue) > 0 && len(l.target.running) < slots {
		v := l.queue[0]
		l.queue = l.queue[1:]
		if v.request.over {
			continue
		}
		v.tries++
		repeated := v.started || v.request.parent != nil && v.request.parent.repeated
		v.started = true
		l.target.begin(v.request, repeated, func(how result) {
			b.ran(v, l, how)
			b.next(l)
		})
	}
}

func (b *baseline) ran(v *visit, l *line, how result) {
	switch {
	case how == ran:
		v.end(ending{answer: whole, zone: l.target.zone})
	case how == failedCall:
		v.end(ending{answer: erred, zone: l.target.zone})
	case v.request.over || v.tries >= baselineAttempts || !b.site.usage[v.request.pool].allows(b.site.agenda.now):
		v.end(ending{refused: how == shed, broken: how == broke})
	case how == shed, how == broke && kinds[v.request.class].idempotent:
		b.site.agenda.after(time.Millisecond, func() { b.send(v) })
	default:
		v.end(ending{broken: how == broke})
	}
}

func (v *visit) end(end ending) {
	if !v.request.over {
		v.request.over = true
		v.request.ended(end)
	}
}
