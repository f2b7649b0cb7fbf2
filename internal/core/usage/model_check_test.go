package usage

import (
	"fmt"
	"testing"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const modelWindow = 5 * time.Second

// bound returns the number of requests that targets may run in any window.
func bound(limit fleet.Account) float64 { return (limit.Rate*5+limit.Burst)*1.1 + 20 }

// assertBound fails the test if more requests of an account ran in a window than its limit allows. It returns the number of windows.
func (m *model) assertBound(t *testing.T, limit fleet.Account) int {
	t.Helper()
	r := m.records[limit.Name]
	first, most, end := 0, 0, time.Time{}
	for i, at := range r.ran {
		for at.Sub(r.ran[first]) >= modelWindow {
			first++
		}
		if count := i - first + 1; count > most {
			most, end = count, at
		}
	}
	if float64(most) > bound(limit) {
		t.Errorf("account %s: %d requests ran in the 5 s before %v, over %.0f", limit.Name, most, end.Sub(m.began), bound(limit))
	}
	return len(r.ran)
}

// refusedWithin returns the number of requests that were refused although at most Rate*5 + Burst were sent in the 5 s before, and the
// number of requests for which this holds.
func (m *model) refusedWithin(limit fleet.Account) (int, int) {
	r := m.records[limit.Name]
	refused := map[time.Time]int{}
	for _, times := range r.refused {
		for _, at := range times {
			refused[at]++
		}
	}
	first, wrong, within := 0, 0, 0
	for i, at := range r.sent {
		for at.Sub(r.sent[first]) >= modelWindow {
			first++
		}
		if float64(i-first+1) > limit.Rate*5+limit.Burst {
			continue
		}
		within++
		if refused[at] > 0 {
			wrong++
			refused[at]--
		}
	}
	return wrong, within
}

// assertServed fails the test if more than a fraction of the requests within the limit were refused.
func (m *model) assertServed(t *testing.T, limit fleet.Account, fraction float64) {
	t.Helper()
	if wrong, within := m.refusedWithin(limit); float64(wrong) > fraction*float64(within) {
		t.Fatalf("account %s: %d of %d requests within the limit were refused (%s)", limit.Name, wrong, within, m.records[limit.Name])
	}
}

// assertAnswered fails the test if a request was neither admitted nor refused.
func (m *model) assertAnswered(t *testing.T) {
	t.Helper()
	for name, r := range m.records {
		if r.answered != len(r.sent) {
			t.Fatalf("account %s: %d of %d requests were answered", name, r.answered, len(r.sent))
		}
	}
}

func (r *record) String() string {
	var waited time.Duration
	for _, w := range r.waits {
		waited += w
	}
	return fmt.Sprintf("sent %d, ran %d, over the limit %d, unavailable %d, mean wait %v", len(r.sent), len(r.ran),
		len(r.refused[fleet.OverCap]), len(r.refused[fleet.Overloaded]), (waited / time.Duration(max(1, len(r.ran)))).Round(time.Microsecond))
}

func accountOf(name string, rate float64) fleet.Account {
	return fleet.Account{Name: fleet.AccountName(name), Rate: rate, Burst: rate}
}
