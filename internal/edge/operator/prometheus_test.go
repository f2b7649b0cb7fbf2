package operator

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// TestMetricsReachPrometheus guards against metrics that are missing at /metrics, and against a panic on a metric that has the
// name of another one but different labels, or a label value that is not UTF-8.
func TestMetricsReachPrometheus(t *testing.T) {
	o := New(Seams{Log: discard.New(), Exporter: NewPrometheus()})
	labels := []effect.Label{{Name: "service", Value: "inventory"}, {Name: "caller", Value: "a\xff"}}
	o.Observe(effect.AddToCounter{Name: "messages", Labels: labels[:1], Delta: 3})
	o.Observe(effect.AddToCounter{Name: "messages", Labels: labels[1:], Delta: 3})
	o.Observe(effect.RecordRequest{
		MetricLabels: effect.MetricLabels{Service: "inventory", Class: "Lookup\xff", Outcome: "Answered"},
		Caller:       "a\xff",
		Duration:     fleet.Some(3 * time.Millisecond),
	})
	o.Observe(effect.RecordAttempt{
		MetricLabels: effect.MetricLabels{Service: "inventory", Class: "Lookup", Outcome: "Answered"}, Duration: 3 * time.Millisecond,
	})
	o.Close()
	recorder := httptest.NewRecorder()
	o.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.New(t).Equal(recorder.Code, http.StatusOK)
	assertContains(t, recorder.Body.String(),
		`jayfold_messages{service="inventory"} 3`,
		`jayfold_requests{class="Lookup_",outcome="Answered",service="inventory"} 1`,
		`jayfold_request_duration_bucket{class="Lookup_",service="inventory",le="0.004"} 1`,
		`jayfold_attempts{class="Lookup",outcome="Answered",service="inventory"} 1`,
		`jayfold_attempt_duration_bucket{class="Lookup",service="inventory",le="0.004"} 1`,
		`jayfold_request_duration_by_caller_bucket{caller="other",le="0.004"} 1`,
		"process_resident_memory_bytes",
	)
}
