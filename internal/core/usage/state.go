// Package usage implements the rate limits of client accounts over the whole fleet.
//
// # Usage
//
//	state := usage.New(self, zone)
//	state, result := state.RequestArrived(ctx, request, usage.WaitLimit(goal, deadline))
//	state, result = state.MessageReceived(ctx, envelope)
//	state, result = state.Tick(ctx)
//
// Each step returns the requests that may start now and those that are refused. The others wait for a token.
//
// # Mechanism
//
// Every node owns an equal share of each rate limit. The accounts are divided into shards. A node leases its shares of a shard to
// the allocator of its availability zone, and the allocators of the zones lease all shares that they hold to the allocator of the
// fleet, which keeps a token bucket for each account. A request needs one token. Requests for tokens take the way of the leases,
// and an allocator of a zone that expects more requests asks for some tokens in advance. A share is never used twice: until a
// lease has expired, its shares are leased to no other node. If nodes cannot reach each other, each side uses the shares of its
// own nodes.
package usage

import (
	"iter"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// shardCount is the number of shards into which accounts are divided, so that several nodes share the work of the allocators.
const shardCount = 4

const (
	// tokenLifetime is how long after it was requested a token may be used. Tokens that were granted before a window of 5 s and
	// are used in it add 0.4 times the rate to it, which the tolerance of the limits allows.
	tokenLifetime = 400 * time.Millisecond
	// waitLimit is the shortest time after which a request that waits for a token is refused, unless its deadline ends before, and
	// goalShare the part of its latency goal for which it may wait at least. While links lose packets a reply takes several times the
	// round trip, and a request with a goal of seconds is still of use then.
	waitLimit = 400 * time.Millisecond
	goalShare = 4
	// relayLimit is the time after which an allocator that waits for tokens tells so to the node that asked. It is shorter than
	// replyTimeout, so that the node does not take the allocator for dead.
	relayLimit = 80 * time.Millisecond
	// askAgain is the time after which tokens are requested again, and replyTimeout that after which a node that did not reply to
	// these requests is avoided for avoidDuration. leaseReplyTimeout is that for a lease, for which no request waits.
	askAgain          = 100 * time.Millisecond
	replyTimeout      = 250 * time.Millisecond
	leaseReplyTimeout = 500 * time.Millisecond
	avoidDuration     = 5 * time.Second
	// retryDelay is the minimum time between two requests for tokens that were not available.
	retryDelay = 50 * time.Millisecond
	// startDelay is the time after its start before which a node grants no tokens unless it knows that it knows too few nodes.
	startDelay = time.Second
	// settleDelay is the time for which a new allocator may lack leases, so that an empty bucket does not mean that the rate limit
	// is reached.
	settleDelay = 3 * time.Second
	// eligibleAfter is the age from which a process is used as allocator. Gossip takes 4 s to reach 540 nodes.
	eligibleAfter = 6 * time.Second
	// promotion is the time for which a node is the allocator of the fleet because another one asked it, although it sees itself as
	// too young.
	promotion = 3 * time.Second
	// weighInterval is the interval at which the weights of the shards are determined anew, also in a process that resumes after a
	// pause and has not had a tick yet.
	weighInterval = 100 * time.Millisecond
	// viewInterval is the interval at which the allocators are determined anew.
	viewInterval = time.Second
	// idleDuration is the time after which the state of an account without requests is dropped, and idlePerTick the number of
	// accounts that one tick checks.
	idleDuration = 10 * time.Second
	idlePerTick  = 16
)

// State holds the leases, buckets, tokens and waiting requests of a node. It is immutable, and so are the values behind its
// pointers.
type State struct {
	self fleet.NodeID
	zone fleet.AvailabilityZone
	// active is true if the tables in force have an account with a rate limit. Nothing is sent otherwise.
	active   bool
	view     *view
	weighed  time.Time
	shards   [shardCount]*shard
	accounts fleet.Map[fleet.AccountName, *account]
	// busy holds the accounts with requests that wait, and waiting the account of each waiting request of this node's callers.
	busy    fleet.Set[fleet.AccountName]
	waiting fleet.HashMap[fleet.RequestID, fleet.AccountName]
	// indebted holds the accounts whose debt is told to the nodes that lease shares to this one.
	indebted fleet.Set[fleet.AccountName]
	// avoided holds the nodes that did not reply, and until when they are avoided.
	avoided fleet.Map[fleet.NodeID, time.Time]
	// left holds the nodes that have left the fleet in an orderly way.
	left fleet.Set[fleet.NodeID]
	// number is that of the last message.
	number uint64
	// spent holds the tokens of requests that have started, until they expire.
	spent fleet.HashMap[fleet.RequestID, spentToken]
	// lines holds the log lines of the step, and counts what the counters do not contain yet.
	lines      []effect.Effect
	counts     counts
	idleCursor fleet.AccountName
}

// Context holds the time, a random number and the parts of the node's state that a step needs.
type Context struct {
	Now      time.Time
	Random   uint64
	Accounts fleet.Map[fleet.AccountName, fleet.Account]
	// Members yields all member records, including this node's own.
	Members iter.Seq2[fleet.NodeID, *fleet.Member]
}

// limit returns the account with the given name if it has a rate limit.
func (c Context) limit(name fleet.AccountName) (fleet.Account, bool) {
	a, ok := c.Accounts.Get(name)
	return a, ok && a.Rate > 0
}

// Waiting is a request of a caller that waits for a token.
type Waiting struct {
	Request fleet.Request
	Arrived time.Time
}

// Refusal is a request that is refused without having run.
type Refusal struct {
	Waiting
	Problem fleet.Problem
}

// Result holds the effects of a step and the requests that no longer wait.
type Result struct {
	Effects  []effect.Effect
	Admitted []Waiting
	Refused  []Refusal
}

func (r Result) with(more Result) Result {
	r.Effects = append(r.Effects, more.Effects...)
	r.Admitted = append(r.Admitted, more.Admitted...)
	r.Refused = append(r.Refused, more.Refused...)
	return r
}

// New returns the state of a node in the given availability zone.
func New(self fleet.NodeID, zone fleet.AvailabilityZone) State {
	s := State{self: self, zone: zone, view: &view{}}
	for i := range s.shards {
		s.shards[i] = &shard{}
	}
	return s
}

// Active reports whether the tables in force have an account with a rate limit.
func (s State) Active() bool { return s.active }

// Waiting returns the number of requests of this node's callers that wait for a token.
func (s State) Waiting() int { return s.waiting.Len() }

// WaitingRequest returns a request that waits for a token.
func (s State) WaitingRequest(id fleet.RequestID) (Waiting, bool) {
	name, ok := s.waiting.Get(id)
	if !ok {
		return Waiting{}, false
	}
	a, _ := s.accounts.Get(name)
	for _, w := range a.waiters {
		if w.local != nil && w.local.Request.ID == id {
			return *w.local, true
		}
	}
	return Waiting{}, false
}

// account returns the state of an account, which is empty if nothing is known.
func (s State) account(name fleet.AccountName) account {
	if a, ok := s.accounts.Get(name); ok {
		return *a
	}
	return account{}
}

// WaitLimit returns the time for which a request may wait for a token, by the times that are left to its latency goal and its deadline.
func WaitLimit(goal, deadline time.Duration) time.Duration {
	return min(deadline, max(waitLimit, goal/goalShare))
}

// RequestArrived admits a request of a rate-limited account, refuses it or lets it wait for a token until the limit.
func (s State) RequestArrived(ctx Context, request fleet.Request, limit time.Duration) (State, Result) {
	w := Waiting{Request: request, Arrived: ctx.Now}
	if _, limited := ctx.limit(request.Account); !limited {
		return s, Result{Admitted: []Waiting{w}}
	}
	s = s.prepared(ctx)
	before := s.waiting.Len()
	a := s.account(request.Account).withDemand(ctx.Now, 1)
	s.waiting = s.waiting.With(request.ID, request.Account)
	s, result := s.serve(ctx, request.Account, a.withWaiter(waiter{local: &w, tokens: 1, until: ctx.Now.Add(limit)}))
	if s.waiting.Len() > before {
		s.counts.waited++
	}
	return s.finished(result)
}

// RequestCanceled drops a waiting request whose caller has disconnected.
func (s State) RequestCanceled(id fleet.RequestID) State {
	name, ok := s.waiting.Get(id)
	if !ok {
		return s
	}
	return s.withAccount(name, s.account(name).withoutRequest(id)).withoutWaiting(id)
}

// withAccount stores the state of an account.
func (s State) withAccount(name fleet.AccountName, a account) State {
	s.accounts = s.accounts.With(name, &a)
	if isBusy := len(a.waiters) > 0 || a.ask.number != 0; isBusy != s.busy.Has(name) {
		if isBusy {
			s.busy = s.busy.With(name)
		} else {
			s.busy = s.busy.Without(name)
		}
	}
	return s
}

func (s State) withoutWaiting(id fleet.RequestID) State {
	s.waiting = s.waiting.Without(id)
	return s
}

func (s State) withShard(i int, sh shard) State {
	s.shards[i] = &sh
	return s
}

// prepared returns the state ready for a step, with the allocators and the weights determined.
func (s State) prepared(ctx Context) State {
	if s.view.built.IsZero() {
		s = s.withView(ctx)
	}
	if ctx.Now.Sub(s.weighed) >= weighInterval {
		s.weighed = ctx.Now
		for i, sh := range s.shards {
			s = s.withShard(i, sh.withWeight(ctx.Now, s.view.members))
		}
	}
	s.number++
	return s
}
