package usage

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// designLoad sets another load of TestMessagesAtDesignSize. The 60,000 requests a second of the design size take 25 s.
var designLoad = flag.Float64("usage.load", 0, "requests a second in the model at the design size")

// TestMessagesAtDesignSize guards against messages that grow with the number of accounts, and reports the messages and bytes of a node.
func TestMessagesAtDesignSize(t *testing.T) {
	nodes, zones, count, rate := 540, 7, 19_000, 1_000.0
	if *designLoad > 0 {
		rate = *designLoad
	}
	var accounts []fleet.Account
	demand := map[fleet.AccountName]float64{}
	sum := 0.0
	for i := range count {
		sum += math.Pow(float64(i+1), -0.9)
	}
	for i := range count {
		wanted := rate * math.Pow(float64(i+1), -0.9) / sum
		a := accountOf(fmt.Sprintf("account-%05d", i), math.Ceil(wanted/0.6*10)/10)
		accounts, demand[a.Name] = append(accounts, a), wanted
	}
	m := newModel(1, nodes, zones, accounts...)
	m.advance(settleTime)
	t.Logf("idle: %s", m.report(settleTime))
	for _, a := range accounts {
		m.load(a.Name, demand[a.Name], 2*time.Second, m.anyNode)
	}
	m.messages, m.bytes = [2]int{}, [2]int{}
	for _, n := range m.nodes {
		n.sent = 0
	}
	m.advance(2*time.Second + waitLimit)
	t.Logf("%.0f requests a second: %s", rate, m.report(2*time.Second))
	wrong, within := 0, 0
	for _, a := range accounts {
		w, n := m.refusedWithin(a)
		wrong, within = wrong+w, within+n
	}
	t.Logf("%d of %d requests within their limit refused", wrong, within)
	if float64(wrong) > 0.01*float64(within) {
		t.Fatal("more than 1 in 100 requests within their limit were refused")
	}
}

// report describes the messages that were sent in a time.
func (m *model) report(d time.Duration) string {
	nodes, most := float64(len(m.nodes)), 0
	for _, n := range m.nodes {
		most = max(most, n.sent)
	}
	s := d.Seconds()
	return fmt.Sprintf("a node sends %.1f messages and %.0f bytes a second in its zone, %.2f and %.0f to others; at most %.0f messages",
		float64(m.messages[0])/nodes/s, float64(m.bytes[0])/nodes/s, float64(m.messages[1])/nodes/s, float64(m.bytes[1])/nodes/s,
		float64(most)/s)
}
