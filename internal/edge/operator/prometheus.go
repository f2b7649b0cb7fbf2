package operator

import (
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4/prometheus"
)

// NewPrometheus returns an exporter for Prometheus, which also exports metrics of the Go runtime and the process. Each exporter
// has its own registry, so that several nodes can run in one process.
func NewPrometheus() Exporter {
	registry := prom.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: prometheus.HistogramTimerType,
		// The default panics if a metric has the name of another one but different labels. Such a metric is omitted instead.
		OnRegisterError: func(error) {},
	})
	return Exporter{Reporter: reporter, Handler: reporter.HTTPHandler()}
}
