package operator

import (
	"github.com/prometheus/client_golang/prometheus"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// NewPrometheus returns an exporter with a registry of its own, so that several nodes can run in one process.
func NewPrometheus() Exporter {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
		// Two series with the same name and other tags are a fault of this program; the series is left out then.
		OnRegisterError: func(error) {},
	})
	return Exporter{Reporter: reporter, Handler: reporter.HTTPHandler()}
}
