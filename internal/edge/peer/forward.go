// Package peer carries requests and messages between nodes.
//
// # Usage
//
// The ingress sends an attempt to the node beside its target:
//
//	forwarder := peer.NewForwarder(self, peer.ForwarderSeams{Now: time.Now, Post: loop.Post})
//	response, report, err := forwarder.Forward(ctx, effect, request, body)
//
// The sidecar asks the reducer for admission, runs the attempt and passes the answer back:
//
//	sidecar := peer.NewSidecar(peer.SidecarSeams{Now: time.Now, Post: loop.Post, Run: run, Crashed: crashed})
//	err := peer.NewForwardServer(sidecar).Serve(listener)
//
// Requests travel over HTTP/2 without TLS. An answer ends with trailers that hold the verdict and the sidecar's report;
// an answer without them is truncated.
package peer
