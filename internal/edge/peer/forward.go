// Package peer carries requests and messages between nodes.
//
// # Usage
//
// The ingress sends an attempt to the node on its target's host:
//
//	forwarder := peer.NewForwarder(self, peer.ForwarderSeams{Now: time.Now, Post: loop.Post})
//	response, report, err := forwarder.Forward(ctx, effect, request, body)
//
// The sidecar asks the reducer for admission, runs the attempt and returns the response:
//
//	sidecar := peer.NewSidecar(peer.SidecarSeams{Now: time.Now, Post: loop.Post, Run: run, Crashed: crashed})
//	err := peer.NewForwardServer(sidecar).Serve(listener)
//
// Requests are sent over HTTP/2 without TLS. A target's response ends with trailers that hold the verdict and the
// sidecar's report; without the verdict it is truncated. A refusal, and a response to HEAD, has them as headers.
package peer
