package peer

import (
	"net/http"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// assertFieldsSet checks that every field of a sample is set, except those named in without.
func assertFieldsSet(t *testing.T, sample any, without ...string) {
	t.Helper()
	value := reflect.ValueOf(sample)
	excluded := map[string]bool{}
	for _, name := range without {
		excluded[name] = true
	}
	for i := range value.NumField() {
		if name := value.Type().Field(i).Name; !excluded[name] && value.Field(i).IsZero() {
			t.Errorf("field %s of the sample is not set", name)
		}
	}
}

// TestForwardKeepsFields guards against a field of an attempt or a report that is lost between two nodes.
func TestForwardKeepsFields(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("attempt", func(t *testing.T) {
		is := is.New(t)
		attempt := fleet.Attempt{
			ID: "r.1", Target: "b/t", Pool: "p", PoolSize: 7, Node: "b", Ingress: "a", Class: fleet.Order, Idempotent: true, Priority: fleet.MaxAttemptPriority,
			Probe: true, Brief: true, Trial: true, IsRetry: true, ParentRetried: true, BudgetCharged: true, Forced: true, Caller: "acme",
			Account: "harbor", Child: true, Key: "k",
			Deadline: now.Add(2 * time.Second), Goal: now.Add(time.Second), Baseline: time.Millisecond, Fingerprint: 5,
		}
		assertFieldsSet(t, attempt, "Address") // not encoded: the receiver knows its own address
		h := http.Header{}
		encodeAttempt(h, wireAttempt{Attempt: attempt, Revision: 9}, now)
		got, err := decodeAttempt(h, now)
		is.NoErr(err)
		is.Equal(got, wireAttempt{Attempt: attempt, Revision: 9})
	})
	t.Run("report", func(t *testing.T) {
		is := is.New(t)
		report := fleet.TargetReport{
			Target: "b/t", Load: fleet.Load{InFlight: 1, Queued: 2, Slots: 3}, P95: time.Millisecond, Class: fleet.Order,
			Ejected: true, Health: fleet.Faulty, ExpectedWait: time.Second, MeanTime: 250 * time.Microsecond, BudgetCharged: true, Revision: 9,
			Quarantined: []fleet.Fingerprint{5},
		}
		assertFieldsSet(t, report)
		h := http.Header{}
		encodeReport(h, "", report)
		got, ok := decodeReport(h).Get()
		is.True(ok)
		is.Equal(got, report)
	})
}
