package tables

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// watch is the state of the watch on the platform's head, of which at most one runs at a time.
type watch struct {
	running bool
	// due is the start time of the next watch; zero if it starts at once.
	due time.Time
	// position is that of the head object as last read.
	position fleet.Position
	// failures counts consecutive failed calls.
	failures int
	// wait is the parameter Wait of the next effect.WatchHead.
	wait time.Duration
}

// Fleet holds the properties of the fleet on which the timing of calls to the platform depends.
type Fleet struct {
	// Members is the number of nodes. Delays that keep the fleet within the rates of the platform grow with it.
	Members int
	// ZoneMembers is the number of nodes in the availability zone of this node, including itself. They pass on what one of them learns,
	// so that the times for which this node may rely on them grow with it.
	ZoneMembers int
	// Epoch is the current epoch of the platform's data; 0 if it is unknown.
	Epoch fleet.Epoch
}

// fetch is the state of the call that reads a revision from the platform, of which at most one runs at a time.
type fetch struct {
	// head is the newest head read from the platform.
	head fleet.TablesHead
	// running is the revision that is being read, or 0.
	running fleet.Revision
	// due is the time from which the revision of head may be read, unless a peer sends it first.
	due time.Time
	// failures counts consecutive failed calls.
	failures int
}

// finished returns the fetch after revision r was decoded or rejected.
func (f fetch) finished(r fleet.Revision) fetch {
	if f.running == r {
		f.running = 0
		f.failures = 0
	}
	return f
}

func (f fetch) withDue(due time.Time) fetch {
	f.due = due
	return f
}

func (s State) startWatch(now time.Time) (State, []effect.Effect) {
	if s.watch.running || now.Before(s.watch.due) {
		return s, nil
	}
	s.watch.running = true
	return s, []effect.Effect{effect.WatchHead{From: s.watch.position, Wait: s.watch.wait}}
}

// startFetch starts to read the newest revision from the platform if that is due. It lets a pending request to a peer finish
// first, for at most the timeout of one request.
func (s State) startFetch(now time.Time) (State, []effect.Effect) {
	due := s.fetch.due
	if s.peerRequest.pending(now) && len(s.fetch.head.Content) == 0 {
		due = due.Add(peerTimeout)
	}
	if s.fetch.head.Revision <= s.current.Revision || s.fetch.running != 0 || now.Before(due) {
		return s, nil
	}
	s.fetch.running = s.fetch.head.Revision
	return s, []effect.Effect{effect.FetchTables{Head: s.fetch.head}}
}

// HeadRead handles the result of a watch. The head has revision 0 if it has not changed or does not exist.
func (s State) HeadRead(
	now time.Time, random uint64, f Fleet, head fleet.TablesHead, position fleet.Position,
) (State, []effect.Effect) {
	effects := s.recoveryLog(position)
	s.platformReachable = true
	fetchDelay := s.fetchDelay(random, f.Members)
	earlier := s.watch.position
	s.watch = watch{due: now.Add(rewatchDelay(random, f.Members)), position: position, wait: watchWait(random, f)}
	if position.Epoch.Differs(f.Epoch) {
		// The answer is late, and its position is of no use.
		s.watch.position = earlier
		if earlier.Version == 0 {
			// The next watch doesn't wait at the platform.
			s.watch.due = now.Add(retryDelay(random, 1, f))
		}
	}
	if head.Revision == 0 {
		return s, effects
	}
	s = s.withNewest(now, head.Revision)
	if head.Revision < s.current.Revision {
		s = s.withOlderHead(now, random, f, head)
		return s, append(effects, log(effect.Warn, "the platform has an older revision",
			effect.LogField{Name: "Revision", Value: head.Revision}, effect.LogField{Name: "InForce", Value: s.current.Revision}))
	}
	s.restoreDue = time.Time{}
	if head.Revision > s.fetch.head.Revision {
		s.fetch.head = head
		s.fetch.due = now.Add(fetchDelay)
		s.fetch.failures = 0
	}
	if len(head.Content) > 0 {
		// The head contains the content, so neither a delay nor a request to a peer would save a call to the platform.
		s.fetch.due = now
		s, fetching := s.startFetch(now)
		return s, append(effects, fetching...)
	}
	s, asking := s.requestFromAny(now, random)
	s, fetching := s.startFetch(now)
	return s, append(append(effects, asking...), fetching...)
}

// EpochChanged handles a new epoch of the platform's data. The watch starts again, from a read of the platform's own data, since the
// platform no longer has the position of the running one. A revision that was read in an earlier epoch and is not in force may be lost.
func (s State) EpochChanged(now time.Time, random uint64, f Fleet) State {
	s.watch = watch{due: now.Add(rewatchDelay(random, f.Members)), wait: watchWait(random, f), failures: s.watch.failures}
	s.fetch = fetch{running: s.fetch.running}
	s.newestRevision, s.newestSince = s.current.Revision, now
	for _, h := range s.holders.All() {
		s = s.withNewest(now, h.revision)
	}
	return s
}

// recoveryLog returns a log line if the platform was unreachable before. A version that is lower than before shows that the platform has
// been restored from a copy.
func (s State) recoveryLog(found fleet.Position) []effect.Effect {
	if s.watch.failures == 0 {
		return nil
	}
	return []effect.Effect{log(effect.Info, "platform found again",
		effect.LogField{Name: "Version", Value: found.Version},
		effect.LogField{Name: "VersionBefore", Value: s.watch.position.Version})}
}

// PlatformCallFailed handles a failed call to the platform. Calls that do not concern the tables are ignored.
func (s State) PlatformCallFailed(
	now time.Time, random uint64, f Fleet, call event.PlatformCall, detail string,
) (State, []effect.Effect) {
	var effects []effect.Effect
	switch call {
	case event.CallWatchHead:
		if s.watch.failures == 0 {
			effects = append(effects, log(effect.Warn, "platform lost", effect.LogField{Name: "Error", Value: detail}))
		}
		s.platformReachable = false
		s.watch.running = false
		s.watch.failures++
		s.watch.wait = waitAfterFailure
		s.watch.due = now.Add(retryDelay(random, s.watch.failures, f))
	case event.CallFetchTables:
		s.platformReachable = false
		s.fetch.running = 0
		s.fetch.failures++
		s.fetch.due = now.Add(retryDelay(random, s.fetch.failures, f))
		effects = append(effects, log(effect.Warn, "reading a revision from the platform failed",
			effect.LogField{Name: "Revision", Value: s.fetch.head.Revision}, effect.LogField{Name: "Error", Value: detail}))
	case event.CallRestoreTables:
		s.restoreDue = now.Add(retryDelay(random, 1, f))
		effects = append(effects, log(effect.Warn, "writing a revision to the platform again failed",
			effect.LogField{Name: "Revision", Value: s.current.Revision}, effect.LogField{Name: "Error", Value: detail}))
	}
	return s, effects
}
