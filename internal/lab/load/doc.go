// Package load is the load generator of the lab: it sends lookups and orders at a fixed rate, whether or not earlier ones
// were answered, and checks every answer.
//
// # Usage
//
//	report, err := load.New(settings, load.NewSeams()).Run(ctx)
//	report.Write(os.Stdout)
//	if len(report.Breaches()) > 0 { ... }
//
// Latencies count from the time at which a request was due, so that a stall is not hidden by the requests that it delays.
// After the run, the verdict on each order is compared with the targets' ledgers: an order whose caller was told that it did
// not run must be in none, and no order may have been started twice.
package load
