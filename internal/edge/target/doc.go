// Package target connects a node to the targets on its host. The server receives the heartbeats of targets, and the client sends
// them the admitted attempts.
//
// # Usage
//
//	server := target.NewServer(target.NewHeartbeatAPI(), host, target.Seams{
//		Now: time.Now, Post: loop.Post, KnownPool: knownPool,
//	})
//	go http.Serve(listener, server)
//	server.AcknowledgeTarget(e) // executes effect.AcknowledgeTarget; never blocks
//
//	client := target.NewClient(target.NewProtocol(), target.NewDial(), time.Now, nil)
//	response, err := client.Run(ctx, run, request)
//
// Every error of Run and of reading the response body, other than io.EOF, is a fleet.Problem. Its verdict is NotRun only if
// no byte of the request was written to a connection, or if Protocol.CheckResponse returned that verdict.
package target
