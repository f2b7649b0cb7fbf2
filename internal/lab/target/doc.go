// Package target is the stand-in target of the lab and the tests: an HTTP server that sends heartbeats to the node on its
// host, runs requests in slots, drains, simulates cold starts and injects faults.
//
// # Usage
//
//	listener, err := net.Listen("tcp", "127.0.0.1:0")
//	t := target.New(settings, listener, target.NewSeams())
//	err = t.Run(ctx) // returns after the drain that starts when ctx ends
//
// Every path except those below is a request to the service. The response is JSON that contains the Lab-Token header of the
// request and the request id assigned by the sidecar; ?size=N adds N bytes of padding.
//
//	GET /health            200 while the target is healthy; the value may be as old as the lag
//	GET /load              the reported load; the values may be as old as the lag
//	GET /admin/ledger      the number of runs of each request
//	PUT /admin/faults      replaces the faults; the body is a Faults in JSON
//
// The state is immutable. A reducer derives each next state; one goroutine owns the current one.
package target
