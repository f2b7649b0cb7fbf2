package usage

import (
	"fmt"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// request sends a request of an account to a node.
func (m *model) request(n *modelNode, name fleet.AccountName) {
	if !n.up || n.frozen {
		return
	}
	m.requests++
	m.records[name].sent = append(m.records[name].sent, m.now)
	request := fleet.Request{ID: fleet.RequestID(fmt.Sprintf("r%d", m.requests)), Account: name}
	m.step(n, func(ctx Context) (State, Result) { return n.state.RequestArrived(ctx, request, time.Second) })
}

// send requests of an account at a rate for a time, to nodes that pick chooses.
func (m *model) load(name fleet.AccountName, rate float64, d time.Duration, pick func() *modelNode) {
	until := m.now.Add(d)
	var next func()
	next = func() {
		if m.now.After(until) {
			return
		}
		m.request(pick(), name)
		m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), next)
}

// anyNode picks one of all nodes.
func (m *model) anyNode() *modelNode { return m.nodes[m.random.IntN(len(m.nodes))] }
