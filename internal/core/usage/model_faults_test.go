package usage

import (
	"flag"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// modelSeeds is the number of seeds of TestBoundWithFaults, and firstSeed the first one.
var (
	modelSeeds = flag.Uint64("usage.seeds", 20, "number of random fleets with faults")
	firstSeed  = flag.Uint64("usage.first", 0, "seed of the first random fleet with faults")
)

// TestBoundWithFaults guards against windows over the bound when messages are lost or late, links are cut in one direction or both,
// nodes are killed, restarted or paused, clients move between zones, and limits are lowered.
func TestBoundWithFaults(t *testing.T) {
	var windows atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for seed := *firstSeed; seed < *firstSeed+*modelSeeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				windows.Add(int64(runFaults(t, seed)))
			})
		}
	})
	t.Logf("%d windows", windows.Load())
}

func runFaults(t *testing.T, seed uint64) int {
	t.Helper()
	m := newModel(seed, 9+int(seed%3)*24, 1+int(seed%4), faultAccounts(seed)...)
	m.advance(settleTime)
	m.lossPercent, m.slowPercent = []int{0, 0, 2, 20}[m.random.IntN(4)], []int{0, 1, 10}[m.random.IntN(3)]
	const length = 60 * time.Second
	// highest holds the highest limit of each account, because a window may begin before a change.
	highest := map[fleet.AccountName]fleet.Account{}
	for name, a := range m.accounts.All() {
		highest[name] = a
		m.load(name, a.Rate*[]float64{0.6, 1, 1.5, 3, 7}[m.random.IntN(5)], length, m.movingNode)
	}
	for m.now.Before(time.Unix(1_800_000_000, 0).Add(settleTime + length)) {
		m.fault()
		m.advance(time.Duration(500+m.random.IntN(6000)) * time.Millisecond)
	}
	m.heal()
	m.lossPercent = 0
	for _, n := range m.nodes {
		if n.frozen {
			m.resume(n)
		}
	}
	m.advance(3 * time.Second)
	windows := 0
	for _, a := range highest {
		windows += m.assertBound(t, a)
		t.Log(a, m.records[a.Name])
	}
	return windows
}

// faultAccounts returns accounts with random limits.
func faultAccounts(seed uint64) []fleet.Account {
	var accounts []fleet.Account
	for i, rate := range []float64{0.4, 5, 40, 150} {
		a := accountOf(fmt.Sprintf("a%d-%d", i, seed), rate)
		a.Burst = rate * []float64{0, 0.5, 1, 4}[(int(seed)+i)%4]
		accounts = append(accounts, a)
	}
	return accounts
}

// movingNode picks a node of a zone that changes every 7 s.
func (m *model) movingNode() *modelNode {
	zone := int(m.now.Unix()/7) % (m.zones + 1)
	for {
		if n := m.anyNode(); n.zone == zone || zone == m.zones {
			return n
		}
	}
}

// fault starts or ends a random fault.
func (m *model) fault() {
	n := m.anyNode()
	if m.random.IntN(2) == 0 {
		for _, a := range m.accounts.All() {
			n = m.top(shardOf(a.Name))
			break
		}
	}
	if n == nil {
		n = m.anyNode()
	}
	switch m.random.IntN(8) {
	case 0, 1:
		if n.up {
			m.kill(n)
			m.after(time.Duration(m.random.IntN(int(20*time.Second))), func() { m.restart(n) })
		}
	case 2:
		if n.up && !n.frozen {
			n.frozen = true
			m.after(time.Duration(m.random.IntN(int(4*time.Second))), func() { m.resume(n) })
		}
	case 3:
		zone := m.random.IntN(m.zones)
		m.partition(func(from, to *modelNode) bool { return (from.zone == zone) != (to.zone == zone) })
	case 4:
		m.partition(func(from, to *modelNode) bool { return from.zone != to.zone })
	case 5:
		m.partition(func(from, to *modelNode) bool { return from == n && to.zone != n.zone })
	case 6:
		m.heal()
	case 7:
		for _, a := range m.accounts.All() {
			if m.random.IntN(4) == 0 {
				a.Rate, a.Burst = a.Rate*0.3, a.Burst*0.3
				m.changeLimit(a)
				break
			}
		}
	}
}

// restart starts a node that was killed.
func (m *model) restart(n *modelNode) {
	if !n.up {
		m.start(n)
	}
}
