package event

import "jayfold.dev/jayfold/internal/core/fleet"

// RequestArrived is posted when a caller sends a request to this node.
type RequestArrived struct {
	Request fleet.Request
}

// RequestCanceled is posted when a caller disconnects before its response is complete.
type RequestCanceled struct {
	Request fleet.RequestID
}

// AttemptFinished is posted when an attempt that this node forwarded ends, or when its response starts to stream.
type AttemptFinished struct {
	Attempt fleet.AttemptID
	Outcome fleet.Outcome
	// Report is the sidecar's report on the target; absent if it sent none.
	Report fleet.Option[fleet.TargetReport]
}

func (RequestArrived) isBody()  {}
func (RequestCanceled) isBody() {}
func (AttemptFinished) isBody() {}
