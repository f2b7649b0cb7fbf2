// Package target is the edge between a node and the targets on its host. The server takes the announcements of targets,
// the client sends them the attempts that were admitted.
//
// # Usage
//
//	server := target.NewServer(target.NewAnnouncements(), host, target.Seams{Post: loop.Post, KnownPool: knownPool})
//	go http.Serve(listener, server)
//
//	client := target.NewClient(target.NewProtocol(), target.NewDial(), time.Now)
//	response, err := client.Run(ctx, run, request)
//
// Every error of Run and of reading the response's body, other than io.EOF, is a fleet.Problem. Its verdict is NotRun only
// when no byte of the request was handed to a connection.
package target
