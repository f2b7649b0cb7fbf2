// Package target is the stand-in target of the lab and the tests: an HTTP server that announces itself to the node on its
// host, runs requests in slots, drains, starts cold and fails on command.
//
// # Usage
//
//	listener, err := net.Listen("tcp", "127.0.0.1:0")
//	t := target.New(settings, listener, target.NewSeams())
//	err = t.Run(ctx) // returns after the drain that starts when ctx ends
//
// Every path but those below is a request to the service. Its answer is JSON that repeats the request's Lab-Token header
// and the request id that the sidecar gave; ?size=N pads it to N more bytes.
//
//	GET /health            200 while the process believes itself healthy, which lags behind
//	GET /load              the load as announced, which lags behind
//	GET /admin/ledger      how often each request was started
//	PUT /admin/faults      replaces the faults; the body is a Faults in JSON
//
// The state is immutable and changed by a reducer; one goroutine owns it.
package target
