package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// settleTime is the time after which a started fleet has leased all shares for longer than a window.
const settleTime = 15 * time.Second

// typicalSite returns the accounts of a site with 81 nodes, each of which usually sends 0.6 of its rate.
func typicalSite() []fleet.Account {
	rates := map[string]float64{"largest": 166, "large": 80, "medium": 20, "small": 4, "rare": 0.4}
	var accounts []fleet.Account
	for _, name := range []string{"largest", "large", "medium", "small", "rare"} {
		accounts = append(accounts, accountOf(name, rates[name]))
	}
	return accounts
}

// TestTypicalLoadIsServed guards against refusals of requests within the limit when nothing fails.
func TestTypicalLoadIsServed(t *testing.T) {
	m := newModel(1, 81, 4, typicalSite()...)
	m.advance(settleTime)
	m.messages, m.bytes = [2]int{}, [2]int{}
	for _, a := range typicalSite() {
		m.load(a.Name, 0.6*a.Rate, time.Minute, m.anyNode)
	}
	m.advance(time.Minute + time.Second)
	for _, a := range typicalSite() {
		t.Log(a.Name, m.records[a.Name])
		m.assertBound(t, a)
		m.assertServed(t, a, 0.01)
	}
	m.assertAnswered(t)
	t.Logf("%d requests, messages a node and second: %.2f in the zone, %.2f to others; bytes %.0f, %.0f", m.requests,
		float64(m.messages[0])/81/60, float64(m.messages[1])/81/60, float64(m.bytes[0])/81/60, float64(m.bytes[1])/81/60)
}

// TestOverloadIsRefused guards against accounts that exceed their limit, or that are refused more than that.
func TestOverloadIsRefused(t *testing.T) {
	for _, times := range []float64{1.1, 2, 4.8} {
		limit := accountOf("a", 100)
		m := newModel(2, 81, 4, limit)
		m.advance(settleTime)
		m.load("a", times*limit.Rate, 30*time.Second, m.anyNode)
		m.advance(31 * time.Second)
		m.assertBound(t, limit)
		m.assertAnswered(t)
		r := m.records["a"]
		t.Log(times, r, m.messages)
		is.New(t).True(float64(len(r.ran)) > 0.95*30*limit.Rate)
		is.New(t).Equal(len(r.refused[fleet.Overloaded]), 0)
	}
}

// outage is the time of demand that the failure of an allocator may cost: its leases last for 0.75 s, and they are renewed elsewhere
// within 0.2 s. Its return may cost as much.
const outage = time.Second

// TestKilledAllocatorIsReplaced guards against an allocator whose failure stops the requests of its shard, or lets too many through.
func TestKilledAllocatorIsReplaced(t *testing.T) {
	for _, a := range typicalSite() {
		m := newModel(3, 81, 4, a)
		m.advance(settleTime)
		m.load(a.Name, 0.6*a.Rate, 30*time.Second, m.anyNode)
		m.advance(10 * time.Second)
		top := m.top(shardOf(a.Name))
		m.kill(top)
		m.advance(10 * time.Second)
		m.start(top)
		m.advance(11 * time.Second)
		m.assertBound(t, a)
		t.Log(a.Name, m.records[a.Name])
		m.assertServed(t, a, 2*outage.Seconds()/30)
	}
}

// top returns the allocator of the fleet for a shard.
func (m *model) top(shard int) *modelNode {
	for _, n := range m.nodes {
		if n.up && n.state.isTop(shard) {
			return n
		}
	}
	return nil
}

// TestPartitionedZoneKeepsItsShare guards against a zone without service while it is cut off, and against more requests than the
// limit in both parts together.
func TestPartitionedZoneKeepsItsShare(t *testing.T) {
	for _, times := range []float64{0.6, 3} {
		limit := accountOf("a", 100)
		m := newModel(4, 81, 4, limit)
		m.advance(settleTime)
		m.load("a", times*limit.Rate, 60*time.Second, m.anyNode)
		m.advance(10 * time.Second)
		m.cut = func(from, to *modelNode) bool { return (from.zone == 0) != (to.zone == 0) }
		m.advance(30 * time.Second)
		m.cut = func(_, _ *modelNode) bool { return false }
		m.advance(21 * time.Second)
		m.assertBound(t, limit)
		t.Log(m.records["a"])
		m.assertServed(t, limit, 2*outage.Seconds()/60)
	}
}

// TestFrozenAllocatorIsReplaced guards against an allocator that is paused and then grants tokens for leases that have expired.
func TestFrozenAllocatorIsReplaced(t *testing.T) {
	for _, times := range []float64{0.6, 3} {
		limit := accountOf("a", 100)
		m := newModel(5, 81, 4, limit)
		m.advance(settleTime)
		m.load("a", times*limit.Rate, 40*time.Second, m.anyNode)
		m.advance(5 * time.Second)
		top := m.top(shardOf("a"))
		for range 4 {
			top.frozen = true
			m.advance(3 * time.Second)
			m.resume(top)
			m.advance(5 * time.Second)
		}
		m.advance(10 * time.Second)
		m.assertBound(t, limit)
		m.assertAnswered(t)
		t.Log(m.records["a"])
		m.assertServed(t, limit, 4*2*outage.Seconds()/40)
	}
}

// TestSmallFleetRestarts guards against a restarted node whose callers get no tokens while it is too young to be an allocator.
func TestSmallFleetRestarts(t *testing.T) {
	for _, zones := range []int{1, 3} {
		limit := accountOf("a", 40)
		m := newModel(6, 3, zones, limit)
		m.advance(settleTime)
		m.load("a", 0.6*limit.Rate, 60*time.Second, m.anyNode)
		for _, n := range m.nodes {
			m.advance(5 * time.Second)
			m.kill(n)
			m.advance(3 * time.Second)
			m.start(n)
			m.advance(10 * time.Second)
		}
		m.advance(10 * time.Second)
		m.assertBound(t, limit)
		m.assertAnswered(t)
		t.Log(zones, m.records["a"])
		m.assertServed(t, limit, 3*2*outage.Seconds()/60)
	}
}

// TestFleetStart guards against a fleet that refuses requests for long after all its nodes have started.
func TestFleetStart(t *testing.T) {
	limit := accountOf("a", 100)
	m := newModel(7, 81, 4, limit)
	m.load("a", 0.6*limit.Rate, 10*time.Second, m.anyNode)
	m.advance(11 * time.Second)
	m.assertBound(t, limit)
	t.Log(m.records["a"])
	m.assertServed(t, limit, 2*outage.Seconds()/10)
}
