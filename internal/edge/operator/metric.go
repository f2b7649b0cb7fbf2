package operator

import (
	"io"
	"net/http"
	"strings"
	"time"

	tally "github.com/uber-go/tally/v4"

	"jayfold.dev/jayfold/internal/core/effect"
)

const (
	// reportInterval is the time between two reports of tally to its exporter.
	reportInterval = 2 * time.Second
	// tagLimit bounds the value of a tag in bytes, since callers choose some of them.
	tagLimit = 64
	// callerCounters is the number of callers that are counted at a time.
	callerCounters = 256
	// callerHistograms bounds the callers that ever get a histogram of their own, as exporters keep them all.
	callerHistograms = 64
	// callerShare is the share of the requests from which a caller is busy: with 19,000 accounts the mean is 0.005%.
	callerShare = 0.01
	// callerMinimum is the number of requests from which a caller's share means something.
	callerMinimum = 100
	otherCallers  = "other"
)

// buckets range from 0.5 ms to 16 s.
var buckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// Exporter shows the metrics to a monitoring system. Its zero value shows nothing.
type Exporter struct {
	Reporter tally.CachedStatsReporter
	// Handler serves /metrics.
	Handler http.Handler
}

// metrics measures through tally, which reports to an exporter.
type metrics struct {
	scope   tally.Scope
	closer  io.Closer
	counted *busiest
	callers map[string]struct{}
}

func newMetrics(exporter Exporter) *metrics {
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "jayfold",
		CachedReporter:         exporter.Reporter,
		Separator:              "_",
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &metrics{
		scope:   scope,
		closer:  closer,
		counted: newBusiest(callerCounters),
		callers: make(map[string]struct{}, callerHistograms),
	}
}

func (m *metrics) close() { _ = m.closer.Close() }

func (m *metrics) count(e effect.AddToCounter) { m.tagged(e.Labels).Counter(e.Name).Inc(e.Delta) }

// request counts a request and records its duration, once more by caller.
func (m *metrics) request(e effect.RecordRequest) {
	m.ended("requests", e.MetricLabels)
	took, ok := e.Duration.Get()
	if !ok {
		return
	}
	m.lasted("request_duration", e.MetricLabels, took)
	byCaller := []effect.Label{{Name: "caller", Value: m.caller(string(e.Caller))}}
	m.tagged(byCaller).Histogram("request_duration_by_caller", buckets).RecordDuration(took)
}

// attempt counts an attempt and records its duration.
func (m *metrics) attempt(e effect.RecordAttempt) {
	m.ended("attempts", e.MetricLabels)
	m.lasted("attempt_duration", e.MetricLabels, e.Duration)
}

func (m *metrics) ended(name string, e effect.MetricLabels) {
	m.count(effect.AddToCounter{Name: name, Delta: 1, Labels: []effect.Label{
		{Name: "outcome", Value: e.Outcome}, {Name: "service", Value: e.Service}, {Name: "class", Value: e.Class},
	}})
}

func (m *metrics) lasted(name string, e effect.MetricLabels, took time.Duration) {
	tags := []effect.Label{{Name: "service", Value: e.Service}, {Name: "class", Value: e.Class}}
	m.tagged(tags).Histogram(name, buckets).RecordDuration(took)
}

// caller returns the name under which a caller is measured: its own when it is or was among the busiest.
func (m *metrics) caller(name string) string {
	atLeast, total := m.counted.add(name)
	if _, ok := m.callers[name]; ok {
		return name
	}
	busy := atLeast >= callerMinimum && float64(atLeast) >= callerShare*float64(total)
	if !busy || len(m.callers) >= callerHistograms {
		return otherCallers
	}
	m.callers[name] = struct{}{}
	return name
}

func (m *metrics) tagged(tags []effect.Label) tally.Scope {
	if len(tags) == 0 {
		return m.scope
	}
	values := make(map[string]string, len(tags))
	for _, tag := range tags {
		values[tag.Name] = label(tag.Value)
	}
	return m.scope.Tagged(values)
}

// label returns a value that Prometheus accepts; it panics on a label that is not UTF-8.
func label(value string) string {
	return strings.ToValidUTF8(value[:min(len(value), tagLimit)], "_")
}
