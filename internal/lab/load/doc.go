// Package load is the open-loop load generator of the lab: it sends lookups and orders at a fixed rate, regardless of
// outstanding responses, and checks every response.
//
// # Usage
//
//	report, err := load.New(settings, load.NewSeams()).Run(ctx)
//	report.Write(os.Stdout)
//	if len(report.Violations()) > 0 { ... }
//
// Latencies are measured from the scheduled time of a request, which avoids coordinated omission: a stall also counts for the
// requests that it delays. After the run, the verdict on each order is compared with the ledgers of the targets: an order with
// the verdict NotRun must be in no ledger, a successful order must be in one, and no order may have been started more than once.
package load
