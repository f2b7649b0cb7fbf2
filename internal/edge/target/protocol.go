package target

import (
	"net/http"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// Protocol is how targets take requests and how they answer. The client's handling of connections and the decisions are
// the same for every protocol.
type Protocol struct {
	// SetHeaders sets the headers of a request to a target. The headers that concern one connection are gone already.
	SetHeaders func(header http.Header, run effect.StartRun, remaining time.Duration)
	// IsMismatched reports whether a response belongs to another request than the one that was sent on its connection.
	IsMismatched func(run effect.StartRun, response *http.Response) bool
	// CheckResponse returns the problem of a response that is no answer of the target to the request.
	CheckResponse func(run effect.StartRun, response *http.Response) fleet.Option[fleet.Problem]
}

// NewProtocol returns jayfold's own protocol for targets.
func NewProtocol() Protocol {
	return Protocol{
		SetHeaders:   setHeaders,
		IsMismatched: func(effect.StartRun, *http.Response) bool { return false },
		CheckResponse: func(effect.StartRun, *http.Response) fleet.Option[fleet.Problem] {
			return fleet.Option[fleet.Problem]{}
		},
	}
}

// The headers that the client sets on each request to a target.
const (
	headerRequest = "Jayfold-Request"
	headerTimeout = "Jayfold-Timeout"
	headerCaller  = "Jayfold-Caller"
	headerPrefix  = "Jayfold-"
)

func setHeaders(header http.Header, run effect.StartRun, remaining time.Duration) {
	if run.Attempt.Caller != "" {
		header.Set(headerCaller, string(run.Attempt.Caller))
	}
	header.Set(headerRequest, string(run.Attempt.ID.Request()))
	header.Set(headerTimeout, remaining.Round(time.Microsecond).String())
}
