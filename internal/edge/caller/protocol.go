package caller

import (
	"net/http"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// Protocol is how callers write requests and how answers are written to them. The server and the decisions are the same
// for every protocol.
type Protocol struct {
	// Decode translates a request whose body was read. It may change the headers that go on to the target. A request
	// without an id gets one from the server. Errors are fleet.Problem.
	Decode func(r *http.Request, body []byte) (fleet.Request, error)
	// Refuse answers with a problem.
	Refuse func(w http.ResponseWriter, request fleet.RequestID, problem fleet.Problem)
	// SetHeaders sets the headers that the system adds to a target's answer.
	SetHeaders func(header http.Header, request fleet.RequestID, verdict fleet.Verdict)
}

// NewProtocol returns jayfold's own protocol for callers.
func NewProtocol() Protocol {
	return Protocol{Decode: decodeRequest, Refuse: refuse, SetHeaders: mark}
}
