// Package platform is a stand-in for the platform's object API: versioned objects with conditional writes, lists, long-polling
// watches, and fault injection.
//
// # Usage
//
//	server := platform.New(platform.Limits{ReadsPerSecond: 2000, WritesPerSecond: 500}, time.Now)
//	go server.Serve(ctx, listener)
//	server.SetFaults(platform.Faults{Outage: true})
//	server.Restore(4 * time.Second) // back to the data of 4 s ago
//	calls := server.Counters().Reads
//
// Other processes set the faults with PUT /admin/faults, restore a copy with PUT /admin/restore and read the counters with GET
// /admin/counters. Each response has the number of restorations so far, plus one, in the header Epoch.
package platform

import (
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// state is the state of the stand-in. It is immutable.
type state struct {
	data
	// epoch counts the restorations of the data, from 1 on.
	epoch uint64
	// earlier holds the data before each of the last writes, by its version.
	earlier  fleet.Map[uint64, datedData]
	watches  fleet.Map[uint64, watch]
	faults   Faults
	reads    bucket
	writes   bucket
	counters Counters
}

// data is what a restoration replaces.
type data struct {
	// version is the version of the latest write. It counts the writes to all objects.
	version uint64
	objects fleet.Map[string, object]
}

// datedData is the data until a write.
type datedData struct {
	data
	until time.Time
}

// maxEarlier bounds the number of writes that a restoration can undo.
const maxEarlier = 4096

type object struct {
	value   []byte
	version uint64
}

// watch is a pending get that waits for a change of one object.
type watch struct {
	key   string
	after uint64
}

// Limits are the rate limits of the API; 0 means no limit.
type Limits struct {
	ReadsPerSecond  int
	WritesPerSecond int
}

// Counters count the calls since the start. A watch counts as one read.
type Counters struct {
	Reads  int
	Writes int
	// Watches counts the reads that are watches.
	Watches int
	// Limited counts the calls refused by a rate limit.
	Limited int
	// Lost counts the writes that took effect but whose response was lost.
	Lost int
}

// Faults are the injected faults.
type Faults struct {
	// Outage fails every call with 503.
	Outage bool
	// Silent leaves every call without a response.
	Silent bool
	// LoseResponses is the number of subsequent writes that take effect but whose connection is closed without a response.
	LoseResponses int
	// Delay is added before every response.
	Delay time.Duration
}

func newState(limits Limits) state {
	return state{epoch: 1, reads: newBucket(limits.ReadsPerSecond), writes: newBucket(limits.WritesPerSecond)}
}

// reduce returns the state after an event and the results of the calls that it ends.
func (s state) reduce(ev event) (state, []result) {
	switch body := ev.body.(type) {
	case callArrived:
		return s.callArrived(ev.at, body)
	case waitEnded:
		return s.waitEnded(body)
	case faultsSet:
		return s.faultsSet(body)
	case restored:
		return s.restored(ev.at, body), nil
	default:
		return s, nil
	}
}

// callArrived counts a call and executes it unless a fault or a limit prevents it.
func (s state) callArrived(at time.Time, c callArrived) (state, []result) {
	s, limited := s.admit(at, c)
	switch {
	case s.faults.Silent:
		return s, nil
	case s.faults.Outage:
		return s, s.respond(c.id, response{status: statusUnavailable})
	case limited:
		s.counters.Limited++
		return s, s.respond(c.id, response{status: statusRateLimited})
	case len(c.value) > maxValueBytes:
		return s, s.respond(c.id, response{status: statusTooLarge})
	}
	before := s.data
	s, results := operations[c.operation](s, c)
	if s.version != before.version {
		s.earlier = s.earlier.With(before.version, datedData{data: before, until: at}).Without(before.version - maxEarlier)
	}
	return s, results
}

// restored replaces the data by a copy of the given age. Pending watches stay, as they do on connections that outlive a restoration.
func (s state) restored(at time.Time, r restored) state {
	s.epoch++
	lost := false
	for version, copied := range s.earlier.All() {
		if !lost && copied.until.After(at.Add(-r.age)) {
			s.data, lost = copied.data, true
		}
		if lost {
			s.earlier = s.earlier.Without(version)
		}
	}
	return s
}

// admit counts the call and reports whether its rate limit refuses it.
func (s state) admit(at time.Time, c callArrived) (state, bool) {
	var ok bool
	if c.operation == put || c.operation == remove {
		s.counters.Writes++
		s.writes, ok = s.writes.take(at)
		return s, !ok
	}
	s.counters.Reads++
	if c.isWatch {
		s.counters.Watches++
	}
	s.reads, ok = s.reads.take(at)
	return s, !ok
}

var operations = map[operation]func(state, callArrived) (state, []result){
	get:    state.get,
	list:   state.list,
	put:    state.put,
	remove: state.remove,
}

func (s state) get(c callArrived) (state, []result) {
	found, ok := s.objects.Get(c.key)
	if c.isWatch && found.version == c.after && s.isIn(c.epoch) {
		s.watches = s.watches.With(c.id, watch{key: c.key, after: c.after})
		return s, nil
	}
	if !ok {
		return s, s.respond(c.id, response{status: statusNotFound})
	}
	return s, s.respond(c.id, response{status: statusOK, version: found.version, value: found.value})
}

func (s state) list(c callArrived) (state, []result) {
	listed := []listEntry{}
	for key, found := range s.objects.From(c.key) {
		if !strings.HasPrefix(key, c.key) {
			break
		}
		listed = append(listed, listEntry{key: key, version: found.version, value: found.value})
	}
	return s, s.respond(c.id, response{status: statusOK, list: listed})
}

func (s state) put(c callArrived) (state, []result) {
	if !s.conditionsHold(c) {
		return s, s.respond(c.id, response{status: statusPreconditionFailed})
	}
	s.version++
	s.objects = s.objects.With(c.key, object{value: c.value, version: s.version})
	return s.respondToWrite(c)
}

func (s state) remove(c callArrived) (state, []result) {
	if !s.conditionsHold(c) {
		return s, s.respond(c.id, response{status: statusPreconditionFailed})
	}
	if _, ok := s.objects.Get(c.key); !ok {
		return s, s.respond(c.id, response{status: statusNotFound})
	}
	s.version++
	s.objects = s.objects.Without(c.key)
	return s.respondToWrite(c)
}

// conditionsHold reports whether the conditions of a write are met.
func (s state) conditionsHold(c callArrived) bool {
	found, ok := s.objects.Get(c.key)
	if version, conditional := c.ifMatch.Get(); conditional && found.version != version {
		return false
	}
	return (!c.ifAbsent || !ok) && s.isIn(c.epoch)
}

// isIn reports whether the data is of an epoch; 0 is any.
func (s state) isIn(epoch uint64) bool { return epoch == 0 || epoch == s.epoch }

// respondToWrite responds to a write that took effect and to the watches of its object.
func (s state) respondToWrite(c callArrived) (state, []result) {
	results := s.respond(c.id, response{status: statusOK, version: s.version})
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		s.counters.Lost++
		results = []result{{id: c.id, lost: true}}
	}
	found, ok := s.objects.Get(c.key)
	changed := response{status: statusOK, version: found.version, value: found.value}
	if !ok {
		changed = response{status: statusNotFound}
	}
	for id, w := range s.watches.All() {
		if w.key == c.key {
			s.watches = s.watches.Without(id)
			results = append(results, s.respond(id, changed)...)
		}
	}
	return s, results
}

// waitEnded responds that a watched object is unchanged. The response has no recipient if the caller has disconnected.
func (s state) waitEnded(body waitEnded) (state, []result) {
	w, ok := s.watches.Get(body.id)
	if !ok {
		return s, nil
	}
	s.watches = s.watches.Without(body.id)
	if s.faults.Silent {
		return s, nil
	}
	return s, s.respond(body.id, response{status: statusNotModified, version: w.after})
}

// faultsSet replaces the faults. An outage ends every pending watch.
func (s state) faultsSet(body faultsSet) (state, []result) {
	s.faults = body.faults
	if !s.faults.Outage {
		return s, nil
	}
	var results []result
	for id := range s.watches.All() {
		results = append(results, s.respond(id, response{status: statusUnavailable})...)
	}
	s.watches = fleet.Map[uint64, watch]{}
	return s, results
}

func (s state) respond(id uint64, r response) []result {
	r.epoch = s.epoch
	return []result{{id: id, response: r, delay: s.faults.Delay}}
}
