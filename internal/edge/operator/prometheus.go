package operator

import (
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4/prometheus"
)

// NewPrometheus returns the exporter for Prometheus, which also shows the CPU and the memory of the process. It has a
// registry of its own, so that several nodes can run in one process.
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
		// The default panics on a metric that has the name of another one but other tags; here it is left out.
		OnRegisterError: func(error) {},
	})
	return Exporter{Reporter: reporter, Handler: reporter.HTTPHandler()}
}
