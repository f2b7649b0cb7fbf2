// Package platform is the client of the platform's object API. It executes the effects that call the platform, and reads
// and applies tables for the command line.
//
// # Usage
//
//	client := platform.New(platform.Seams{
//		Store: platform.NewStore("http://10.0.0.1:7000", &http.Client{}),
//		Post: loop.Post,
//		Observe: op.Observe,
//	})
//	defer client.Close()
//	client.WatchHead(effect.WatchHead{From: fleet.Position{Version: 7}})
//
// The methods named for effects do not block; the result is posted as the event that the effect names, if there is one. Every
// call has a timeout.
package platform

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/routing"
	"jayfold.dev/jayfold/internal/edge/recovery"
	"jayfold.dev/jayfold/internal/edge/tablesfile"
)

// Seams are the external dependencies of a Client.
type Seams struct {
	// Store makes the calls to the platform.
	Store Store
	// Post accepts the events that report the results of calls. The blocking methods do not use it.
	Post func(event.Body)
	// Observe accepts log lines about values that do not decode and claims that could not be released. It must not block; nil
	// discards the lines.
	Observe func(effect.Effect)
	// Recovery contains panics of calls; nil contains none.
	Recovery *recovery.Boundary
}

// Client calls the platform.
type Client struct {
	store Store
	// processID distinguishes the claims of this process from those of other nodes and of an earlier process of this node.
	processID  string
	post       func(event.Body)
	observe    func(effect.Effect)
	recovery   *recovery.Boundary
	ctx        context.Context
	cancel     context.CancelFunc
	calls      sync.WaitGroup
	registerMu sync.Mutex
	// lastRegistered is the newest record of this node that was sent to the platform, guarded by registerMu.
	lastRegistered fleet.Member
	// chunks holds the chunks of the content that was read last.
	chunks chunkCache
	// cancelWatch cancels the last watch of the head.
	cancelWatch atomic.Pointer[context.CancelFunc]
	// lastEpoch is the epoch of the last answer.
	lastEpoch atomic.Uint64
}

// New returns a client. Close cancels its calls.
func New(s Seams) *Client {
	if s.Observe == nil {
		s.Observe = func(effect.Effect) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		processID: rand.Text(),
		post:      s.Post,
		observe:   s.Observe,
		recovery:  s.Recovery,
		ctx:       ctx,
		cancel:    cancel,
	}
	c.store = c.withEpochs(withTimeouts(s.Store))
	return c
}

// Close cancels all calls and waits for them to return. Canceled calls post no events.
func (c *Client) Close() {
	c.cancel()
	c.calls.Wait()
}

// Wait waits for the pending calls.
func (c *Client) Wait() { c.calls.Wait() }

// WatchHead executes effect.WatchHead. It cancels a watch that still runs, which then posts no event.
func (c *Client) WatchHead(e effect.WatchHead) {
	ctx, cancel := context.WithCancel(c.ctx)
	if running := c.cancelWatch.Swap(&cancel); running != nil {
		(*running)()
	}
	c.startWithin(ctx, 0, callFailed(event.CallWatchHead, errCallPanicked), func(ctx context.Context) event.Body {
		found, err := c.store.Watch(ctx, HeadKey, e.From, e.Wait)
		if err != nil {
			return callFailed(event.CallWatchHead, err)
		}
		if found.position() == e.From || len(found.Value) == 0 {
			return event.HeadRead{Position: found.position()}
		}
		head, err := decodeHead(found.Value)
		if err != nil {
			return callFailed(event.CallWatchHead, err)
		}
		return event.HeadRead{Head: head.tablesHead(), Position: found.position()}
	})
}

// FetchTables executes effect.FetchTables.
func (c *Client) FetchTables(e effect.FetchTables) {
	c.start(0, callFailed(event.CallFetchTables, errCallPanicked), func(ctx context.Context) event.Body {
		content, err := c.readContent(ctx, wireHead{Revision: e.Head.Revision, Chunks: e.Head.Chunks, Content: e.Head.Content})
		var corrupt CorruptTables
		if errors.As(err, &corrupt) {
			return event.TablesRejected{Revision: e.Head.Revision, Detail: err.Error()}
		}
		if err != nil {
			return callFailed(event.CallFetchTables, err)
		}
		tables, err := tablesfile.Decode(e.Head.Revision, content)
		if err != nil {
			return event.TablesRejected{Revision: e.Head.Revision, Detail: err.Error()}
		}
		return event.TablesDecoded{Tables: tables, Router: routing.New(tables), Accounts: accounts.New(tables), Content: content, Parts: tablesfile.Parts(content)}
	})
}

// ListMembers executes effect.ListMembers. Records that do not decode are logged and skipped.
func (c *Client) ListMembers(e effect.ListMembers) {
	c.start(e.Delay, callFailed(event.CallListMembers, errCallPanicked), func(ctx context.Context) event.Body {
		listed, err := c.store.List(ctx, memberPrefix)
		if err != nil {
			return callFailed(event.CallListMembers, err)
		}
		return event.MembersListed{Members: c.decodeMembers(listed.Objects)}
	})
}

// RegisterMember executes effect.RegisterMember. Records are written one after another, and a record is skipped if a newer
// one has been sent.
func (c *Client) RegisterMember(e effect.RegisterMember) {
	c.start(e.Delay, callFailed(event.CallRegisterMember, errCallPanicked), func(ctx context.Context) event.Body {
		c.registerMu.Lock()
		defer c.registerMu.Unlock()
		if c.lastRegistered.Supersedes(e.Member) {
			return nil
		}
		first := c.lastRegistered.Node == ""
		c.lastRegistered = e.Member
		epoch, err := c.register(ctx, e.Member, first)
		if err != nil {
			return callFailed(event.CallRegisterMember, err)
		}
		return event.MemberRegistered{Sequence: e.Member.Sequence, Epoch: epoch}
	})
}

// register writes a member record. The first write of a process first tries to create the record, since some platforms have a
// separate call for that; a record of an earlier process is replaced.
func (c *Client) register(ctx context.Context, m fleet.Member, first bool) (fleet.Epoch, error) {
	key, value := memberPrefix+string(m.Node), encodeMember(m)
	if first {
		if epoch, err := c.store.Put(ctx, key, value, ifAbsent); !errors.Is(err, ErrConflict) {
			return epoch, err
		}
	}
	return c.store.Put(ctx, key, value, Condition{})
}

// start makes a call in its own goroutine after a delay and posts the returned event, unless it is nil. It posts failed if the call
// panics, since the node makes no other call of its kind before it has heard of this one.
func (c *Client) start(delay time.Duration, failed event.Body, call func(context.Context) event.Body) {
	c.startWithin(c.ctx, delay, failed, call)
}

// startWithin is start with a context for the call. The call posts nothing once the context is canceled.
func (c *Client) startWithin(ctx context.Context, delay time.Duration, failed event.Body, call func(context.Context) event.Body) {
	c.calls.Go(func() {
		if !sleep(ctx, delay) {
			return
		}
		body := failed
		c.recovery.Do("call the platform", func() { body = call(ctx) })
		if body != nil && ctx.Err() == nil {
			c.post(body)
		}
	})
}

// errCallPanicked is the error of a call that panicked.
var errCallPanicked = errors.New("the call failed with an internal error")

// sleep waits for d and returns true, or returns false as soon as ctx is canceled.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func callFailed(call event.PlatformCall, err error) event.PlatformCallFailed {
	return event.PlatformCallFailed{Call: call, Detail: err.Error()}
}
