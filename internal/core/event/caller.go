package event

import "jayfold.dev/jayfold/internal/core/fleet"

// RequestArrived says that a caller sent a request to this node.
type RequestArrived struct {
	Request fleet.Request
}

// RequestCanceled says that the caller went away before its answer was complete.
type RequestCanceled struct {
	Request fleet.RequestID
}

// AttemptFinished says that an attempt forwarded by this node ended, or that its answer began to stream.
type AttemptFinished struct {
	Attempt fleet.AttemptID
	Outcome fleet.Outcome
	// Report is the sidecar's report on the target, when it sent one.
	Report fleet.Option[fleet.TargetReport]
}

func (RequestArrived) isBody()  {}
func (RequestCanceled) isBody() {}
func (AttemptFinished) isBody() {}
