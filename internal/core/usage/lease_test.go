package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/message"
)

// leaseOf returns the shares that the allocator of the fleet holds after a lease of 20 shares with a stamp of the given age, without
// those that it held before.
func leaseOf(age, duration time.Duration) int {
	m := newModel(1, 9, 3, accountOf("a", 10))
	m.advance(settleTime)
	top := m.top(0)
	before := top.state.shards[0].sharesUntil(m.now, "")
	ctx := Context{Now: m.now, Accounts: top.accounts, Members: top.members.All()}
	state, _ := top.state.MessageReceived(ctx, message.Envelope{From: "other", Address: "other", Message: message.UsageRequest{
		Stamp: m.now.Add(-age).UnixNano(), Shares: 20, Duration: duration, Members: 9,
	}})
	return state.shards[0].sharesUntil(m.now, "") - before
}

// TestLeaseEndsByTheStamp guards against shares that are used twice, because a lease was read late or names a time to come.
func TestLeaseEndsByTheStamp(t *testing.T) {
	is := is.New(t)
	is.Equal(leaseOf(500*time.Millisecond, time.Second), 20)
	is.Equal(leaseOf(time.Second, time.Second), 0)
	is.Equal(leaseOf(995*time.Millisecond, time.Second), 0) // clocks may run at different rates
	is.Equal(leaseOf(-time.Millisecond, time.Second), 0)
}

// TestSharesAreLeasedOnce guards against a node that leases its shares to a new allocator, or uses them itself, while the former
// allocator may still use them.
func TestSharesAreLeasedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	end := now.Add(time.Second)
	sh := shard{
		leases:       []lease{{node: "leaf", shares: 2, ends: now.Add(time.Minute)}},
		leasedTo:     upstream{node: "former"},
		leasedShares: 3,
		leasedUntil:  end,
		contact:      contact{node: "new", stamp: now.UnixNano(), stampAt: end},
	}
	shares, _ := sh.leasable(now)
	is.Equal(shares, 0)
	is.Equal(sh.withWeight(now, 3).weight(), 0.0)
	shares, _ = sh.leasable(end)
	is.Equal(shares, 3)
	is.Equal(sh.withWeight(end, 3).weight(), 1.0)
	sh.contact.node = "leaf"
	shares, _ = sh.leasable(end)
	is.Equal(shares, 1) // its own shares are not leased back to a node
}
