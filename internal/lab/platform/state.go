// Package platform is the stand-in of the platform's object API: versioned objects with conditional updates, lists and
// waiting watches, and switches for its faults.
//
// # Usage
//
//	server := platform.New(platform.Limits{ReadsPerSecond: 2000, WritesPerSecond: 500}, time.Now)
//	go server.Serve(ctx, listener)
//	server.SetFaults(platform.Faults{Outage: true})
//	calls := server.Counters().Reads
//
// Other processes set the faults with PUT /admin/faults and read the counters with GET /admin/counters.
package platform

import (
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// state is everything the stand-in knows. It is immutable.
type state struct {
	// version is the store's only counter; every write takes the next number.
	version  uint64
	objects  fleet.Map[string, object]
	watches  fleet.Map[uint64, watch]
	faults   Faults
	reads    bucket
	writes   bucket
	counters Counters
}

type object struct {
	value   []byte
	version uint64
}

// watch is a call that waits for a change of one key.
type watch struct {
	key   string
	after uint64
}

// Limits are the calls accepted per second; 0 means no limit.
type Limits struct {
	ReadsPerSecond  int
	WritesPerSecond int
}

// Counters count the calls since the start. A waiting watch counts as one read.
type Counters struct {
	Reads  int
	Writes int
	// Watches counts the reads that were watches.
	Watches int
	// Limited counts the calls that a rate limit refused.
	Limited int
	// Lost counts the writes that took effect and whose response was lost.
	Lost int
}

// Faults are the faults in force.
type Faults struct {
	// Outage answers every call with 503.
	Outage bool
	// Silent leaves every call without an answer.
	Silent bool
	// LoseResponses is the number of coming writes that take effect and whose connection is then closed.
	LoseResponses int
	// Delay comes before every answer.
	Delay time.Duration
}

func newState(limits Limits) state {
	return state{reads: newBucket(limits.ReadsPerSecond), writes: newBucket(limits.WritesPerSecond)}
}

// reduce returns the state after an event and the replies that it causes.
func (s state) reduce(ev event) (state, []reply) {
	switch body := ev.body.(type) {
	case called:
		return s.called(ev.at, body)
	case waitEnded:
		return s.waitEnded(body)
	case faultsSet:
		return s.faultsSet(body)
	default:
		return s, nil
	}
}

// called takes in a call: it counts it, applies the faults and limits, and carries it out.
func (s state) called(at time.Time, c called) (state, []reply) {
	s, limited := s.admit(at, c)
	switch {
	case s.faults.Silent:
		return s, nil
	case s.faults.Outage:
		return s, s.answer(c.id, response{status: statusUnavailable})
	case limited:
		s.counters.Limited++
		return s, s.answer(c.id, response{status: statusLimited})
	case len(c.value) > maxValue:
		return s, s.answer(c.id, response{status: statusTooLarge})
	}
	return operations[c.operation](s, c)
}

// admit counts the call and takes it out of its rate limit.
func (s state) admit(at time.Time, c called) (state, bool) {
	var ok bool
	if c.operation == put || c.operation == remove {
		s.counters.Writes++
		s.writes, ok = s.writes.take(at)
		return s, !ok
	}
	s.counters.Reads++
	if c.waits {
		s.counters.Watches++
	}
	s.reads, ok = s.reads.take(at)
	return s, !ok
}

var operations = map[operation]func(state, called) (state, []reply){
	get:    state.get,
	list:   state.list,
	put:    state.put,
	remove: state.remove,
}

func (s state) get(c called) (state, []reply) {
	found, ok := s.objects.Get(c.key)
	if c.waits && found.version == c.after {
		s.watches = s.watches.With(c.id, watch{key: c.key, after: c.after})
		return s, nil
	}
	if !ok {
		return s, s.answer(c.id, response{status: statusNotFound})
	}
	return s, s.answer(c.id, response{status: statusOK, version: found.version, value: found.value})
}

func (s state) list(c called) (state, []reply) {
	listed := []entry{}
	for key, found := range s.objects.From(c.key) {
		if !strings.HasPrefix(key, c.key) {
			break
		}
		listed = append(listed, entry{key: key, version: found.version, value: found.value})
	}
	return s, s.answer(c.id, response{status: statusOK, list: listed})
}

func (s state) put(c called) (state, []reply) {
	if !s.holds(c) {
		return s, s.answer(c.id, response{status: statusConflict})
	}
	s.version++
	s.objects = s.objects.With(c.key, object{value: c.value, version: s.version})
	return s.committed(c)
}

func (s state) remove(c called) (state, []reply) {
	if !s.holds(c) {
		return s, s.answer(c.id, response{status: statusConflict})
	}
	if _, ok := s.objects.Get(c.key); !ok {
		return s, s.answer(c.id, response{status: statusNotFound})
	}
	s.version++
	s.objects = s.objects.Without(c.key)
	return s.committed(c)
}

// holds reports whether the call's condition is met.
func (s state) holds(c called) bool {
	found, ok := s.objects.Get(c.key)
	if version, conditional := c.ifMatch.Get(); conditional && found.version != version {
		return false
	}
	return !c.ifAbsent || !ok
}

// committed answers a write that took effect and the watches that waited for it.
func (s state) committed(c called) (state, []reply) {
	answered := s.answer(c.id, response{status: statusOK, version: s.version})
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		s.counters.Lost++
		answered = []reply{{id: c.id, lost: true}}
	}
	found, ok := s.objects.Get(c.key)
	changed := response{status: statusOK, version: found.version, value: found.value}
	if !ok {
		changed = response{status: statusNotFound}
	}
	for id, w := range s.watches.All() {
		if w.key == c.key {
			s.watches = s.watches.Without(id)
			answered = append(answered, s.answer(id, changed)...)
		}
	}
	return s, answered
}

// waitEnded answers a watch that saw no change, or forgets it because its caller is gone.
func (s state) waitEnded(body waitEnded) (state, []reply) {
	w, ok := s.watches.Get(body.id)
	if !ok {
		return s, nil
	}
	s.watches = s.watches.Without(body.id)
	if s.faults.Silent {
		return s, nil
	}
	return s, s.answer(body.id, response{status: statusNotModified, version: w.after})
}

// faultsSet changes the faults. An outage ends every waiting watch.
func (s state) faultsSet(body faultsSet) (state, []reply) {
	s.faults = body.faults
	if !s.faults.Outage {
		return s, nil
	}
	var answered []reply
	for id := range s.watches.All() {
		answered = append(answered, s.answer(id, response{status: statusUnavailable})...)
	}
	s.watches = fleet.Map[uint64, watch]{}
	return s, answered
}

func (s state) answer(id uint64, r response) []reply {
	return []reply{{id: id, response: r, delay: s.faults.Delay}}
}
