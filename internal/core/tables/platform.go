package tables

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// watch is the waiting watch on the platform's head. At most one runs.
type watch struct {
	running bool
	// due is when the next one starts; zero means at once.
	due time.Time
	// version is the platform's version of the head that was last read.
	version uint64
	// failures counts the calls that failed in a row.
	failures int
	// wait is how long the platform holds the next one, and stale whether a copy may answer it.
	wait  time.Duration
	stale bool
}

// Fleet is what the other nodes mean for the calls on the platform.
type Fleet struct {
	// Members is the number of nodes, which sets the delays.
	Members int
	// IsWatcher means that this node is one of those of its zone that watch the platform's own data. The others watch a copy,
	// which costs less, and hear of a change from a watcher when the copy lags.
	IsWatcher bool
}

// fetch is the reading of a revision from the platform. At most one runs.
type fetch struct {
	// head is the newest head that the platform showed.
	head fleet.TablesHead
	// running is the revision being read; 0 means none.
	running fleet.Revision
	// due is when reading head may start, unless a peer has it first.
	due time.Time
	// failures counts the calls that failed in a row.
	failures int
}

// ended returns the fetch after the reading of a revision came to its end.
func (f fetch) ended(r fleet.Revision) fetch {
	if f.running == r {
		f.running = 0
		f.failures = 0
	}
	return f
}

// postponed returns the fetch with a later start.
func (f fetch) postponed(due time.Time) fetch {
	f.due = due
	return f
}

func (s State) startWatch(now time.Time) (State, []effect.Effect) {
	if s.watch.running || now.Before(s.watch.due) {
		return s, nil
	}
	s.watch.running = true
	return s, []effect.Effect{effect.WatchHead{Version: s.watch.version, Wait: s.watch.wait, MayBeStale: s.watch.stale}}
}

// startFetch reads the platform when its time has come. A request to a peer that is under way goes first, but for no
// longer than its timeout.
func (s State) startFetch(now time.Time) (State, []effect.Effect) {
	due := s.fetch.due
	if s.ask.waiting(now) && len(s.fetch.head.Content) == 0 {
		due = due.Add(askTimeout)
	}
	if s.fetch.head.Revision <= s.current.Revision || s.fetch.running != 0 || now.Before(due) {
		return s, nil
	}
	s.fetch.running = s.fetch.head.Revision
	return s, []effect.Effect{effect.FetchTables{Head: s.fetch.head}}
}

// HeadRead takes in what the platform's head says. The head has revision 0 when it has not changed or does not exist.
func (s State) HeadRead(
	now time.Time, random uint64, f Fleet, head fleet.TablesHead, version uint64,
) (State, []effect.Effect) {
	effects := s.found()
	s.platform = true
	fetchDelay := s.fetchDelay(random, f.Members)
	s.watch = watch{
		due:     now.Add(rearmDelay(random, f.Members)),
		version: version,
		wait:    watchWait(random, f),
		stale:   !f.IsWatcher,
	}
	if head.Revision == 0 {
		return s, effects
	}
	s.newest = max(s.newest, head.Revision)
	if head.Revision < s.current.Revision {
		return s, append(effects, log(effect.Warn, "the platform has an older revision",
			effect.LogField{Name: "Revision", Value: head.Revision}, effect.LogField{Name: "InForce", Value: s.current.Revision}))
	}
	if head.Revision > s.fetch.head.Revision {
		s.fetch.head = head
		s.fetch.due = now.Add(fetchDelay)
		s.fetch.failures = 0
	}
	if len(head.Content) > 0 {
		// Nothing is left to be read, so neither a wait nor a peer would spare the platform a call.
		s.fetch.due = now
		s, fetching := s.startFetch(now)
		return s, append(effects, fetching...)
	}
	s, asking := s.askAny(now, random)
	s, fetching := s.startFetch(now)
	return s, append(append(effects, asking...), fetching...)
}

// found reports the end of an outage.
func (s State) found() []effect.Effect {
	if s.watch.failures == 0 {
		return nil
	}
	return []effect.Effect{log(effect.Info, "platform found again")}
}

// PlatformCallFailed takes in that a call on the platform failed. Calls of other parts say nothing here.
func (s State) PlatformCallFailed(now time.Time, random uint64, call event.PlatformCall, detail string) (State, []effect.Effect) {
	var effects []effect.Effect
	switch call {
	case event.CallWatchHead:
		if s.watch.failures == 0 {
			effects = append(effects, log(effect.Warn, "platform lost", effect.LogField{Name: "Error", Value: detail}))
		}
		s.platform = false
		s.watch.running = false
		s.watch.failures++
		s.watch.due = now.Add(retryDelay(random, s.watch.failures))
	case event.CallFetchTables:
		s.platform = false
		s.fetch.running = 0
		s.fetch.failures++
		s.fetch.due = now.Add(retryDelay(random, s.fetch.failures))
		effects = append(effects, log(effect.Warn, "revision not read from the platform",
			effect.LogField{Name: "Revision", Value: s.fetch.head.Revision}, effect.LogField{Name: "Error", Value: detail}))
	}
	return s, effects
}
