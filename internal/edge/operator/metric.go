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
	// reportInterval is the time between two reports of tally to the exporter.
	reportInterval = 2 * time.Second
	// maxLabelBytes is the maximum length of a label value. Callers choose some of the values.
	maxLabelBytes = 64
	// trackedCallers is the number of callers whose requests are counted at the same time.
	trackedCallers = 256
	// maxCallerHistograms is the maximum number of callers with their own histogram. Exporters never remove a histogram.
	maxCallerHistograms = 64
	// minCallerShare is the minimum share of the requests for a caller to get its own histogram. With 19,000 client accounts the
	// mean share is 0.005%.
	minCallerShare = 0.01
	// minCallerRequests is the minimum number of requests for a caller's share to be significant.
	minCallerRequests = 100
	// otherCallers is the label value of all callers without their own histogram.
	otherCallers = "other"
)

// buckets are the upper bounds of the histograms, from 0.5 ms to 16 s.
var buckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// costBuckets are the upper bounds of the ratio of the actual to the expected duration of an attempt, from 1/8 to 16.
var costBuckets = tally.MustMakeExponentialValueBuckets(0.125, 2, 8)

// Exporter exports the metrics to a monitoring system. The zero value exports nothing.
type Exporter struct {
	Reporter tally.CachedStatsReporter
	// Handler serves /metrics.
	Handler http.Handler
}

// metrics records the metrics with tally, which reports them to an exporter.
type metrics struct {
	scope        tally.Scope
	closer       io.Closer
	callerCounts *heavyHitters
	// namedCallers holds the callers with their own histogram.
	namedCallers map[string]struct{}
}

func newMetrics(exporter Exporter) *metrics {
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "jayfold",
		CachedReporter:         exporter.Reporter,
		Separator:              "_",
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &metrics{
		scope:        scope,
		closer:       closer,
		callerCounts: newHeavyHitters(trackedCallers),
		namedCallers: make(map[string]struct{}, maxCallerHistograms),
	}
}

func (m *metrics) close() { _ = m.closer.Close() }

func (m *metrics) addToCounter(e effect.AddToCounter) {
	m.labeled(e.Labels).Counter(e.Name).Inc(e.Delta)
}

// recordRequest counts a request and records its duration by service and class and by caller.
func (m *metrics) recordRequest(e effect.RecordRequest) {
	m.countOutcome("requests", e.MetricLabels)
	duration, ok := e.Duration.Get()
	if !ok {
		return
	}
	m.recordDuration("request_duration", e.MetricLabels, duration)
	byCaller := []effect.Label{{Name: "caller", Value: m.callerLabel(string(e.Caller))}}
	m.labeled(byCaller).Histogram("request_duration_by_caller", buckets).RecordDuration(duration)
}

// recordAttempt counts an attempt and records its duration by service and class.
func (m *metrics) recordAttempt(e effect.RecordAttempt) {
	m.countOutcome("attempts", e.MetricLabels)
	m.recordDuration("attempt_duration", e.MetricLabels, e.Duration)
}

// recordPlacement counts an attempt by how its target was chosen, and records the ratio of its actual to its expected duration.
func (m *metrics) recordPlacement(e effect.RecordPlacement) {
	m.addToCounter(effect.AddToCounter{Name: "placements", Delta: 1, Labels: []effect.Label{
		{Name: "mode", Value: e.Mode}, {Name: "zone", Value: e.Zone}, {Name: "outcome", Value: e.Outcome},
	}})
	if e.Expected > 0 && e.Actual > 0 {
		labels := []effect.Label{{Name: "service", Value: e.Service}, {Name: "class", Value: e.Class}}
		m.labeled(labels).Histogram("cost_ratio", costBuckets).RecordValue(e.Actual.Seconds() / e.Expected.Seconds())
	}
}

func (m *metrics) countOutcome(name string, e effect.MetricLabels) {
	m.addToCounter(effect.AddToCounter{Name: name, Delta: 1, Labels: []effect.Label{
		{Name: "outcome", Value: e.Outcome}, {Name: "service", Value: e.Service}, {Name: "class", Value: e.Class},
	}})
}

func (m *metrics) recordDuration(name string, e effect.MetricLabels, duration time.Duration) {
	labels := []effect.Label{{Name: "service", Value: e.Service}, {Name: "class", Value: e.Class}}
	m.labeled(labels).Histogram(name, buckets).RecordDuration(duration)
}

// callerLabel counts a request of a caller and returns the label value for it: the caller's name if the caller has its own
// histogram or now gets one, and otherCallers if not.
func (m *metrics) callerLabel(name string) string {
	atLeast, total := m.callerCounts.add(name)
	if _, ok := m.namedCallers[name]; ok {
		return name
	}
	busy := atLeast >= minCallerRequests && float64(atLeast) >= minCallerShare*float64(total)
	if !busy || len(m.namedCallers) >= maxCallerHistograms {
		return otherCallers
	}
	m.namedCallers[name] = struct{}{}
	return name
}

func (m *metrics) labeled(labels []effect.Label) tally.Scope {
	if len(labels) == 0 {
		return m.scope
	}
	values := make(map[string]string, len(labels))
	for _, l := range labels {
		values[l.Name] = sanitizeLabel(l.Value)
	}
	return m.scope.Tagged(values)
}

// sanitizeLabel truncates a label value and replaces invalid UTF-8, on which the Prometheus client panics.
func sanitizeLabel(value string) string {
	return strings.ToValidUTF8(value[:min(len(value), maxLabelBytes)], "_")
}
