package usage

import (
	"fmt"
	"testing"
	"time"
)

// TestRequestsWithinTheLimitAreServed guards against refusals of requests within the limit while clients move between zones, some
// messages are late, and accounts send seven times their usual rate for a while.
func TestRequestsWithinTheLimitAreServed(t *testing.T) {
	wrong, within := 0, 0
	for seed := range uint64(8) {
		accounts := faultAccounts(seed)
		m := newModel(seed, 9+int(seed%4)*24, 1+int(seed%4), accounts...)
		m.advance(settleTime)
		m.slowPercent = 1
		for i, a := range accounts {
			m.load(a.Name, 0.6*a.Rate, 60*time.Second, m.movingNode)
			if i%2 == int(seed%2) {
				m.after(20*time.Second, func() { m.load(a.Name, 6.4*0.6*a.Rate, 10*time.Second, m.movingNode) })
			}
		}
		m.advance(61 * time.Second)
		m.assertAnswered(t)
		for _, a := range accounts {
			m.assertBound(t, a)
			w, n := m.refusedWithin(a)
			wrong, within = wrong+w, within+n
			if w > 0 {
				t.Log(seed, a, fmt.Sprintf("%d of %d refused within the limit", w, n), m.records[a.Name])
			}
		}
	}
	t.Logf("%d of %d requests within the limit refused", wrong, within)
	if float64(wrong) > 0.01*float64(within) {
		t.Fatal("more than 1 in 100 requests within the limit were refused")
	}
}
