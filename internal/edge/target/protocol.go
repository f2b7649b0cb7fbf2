package target

import (
	"net/http"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// Protocol defines the headers of requests to targets and the meaning of their responses. The client handles connections, and
// decides on the verdict of a request without a complete response, in the same way for every protocol.
type Protocol struct {
	// SetHeaders sets the headers of a request to a target, after the hop-by-hop headers have been removed.
	SetHeaders func(header http.Header, run effect.StartRun, remaining time.Duration)
	// IsMismatched reports whether a response belongs to a request other than the one that was sent for the run. reused is true if
	// the connection has carried another response before, which a faulty target may write once more.
	IsMismatched func(run effect.StartRun, response *http.Response, reused bool) bool
	// IsIdentified reports whether a response names the request that it belongs to. A connection is kept only after such a response: on
	// a kept one, a second copy of a response without a name would be taken for that of the next request.
	IsIdentified func(response *http.Response) bool
	// CheckResponse returns the problem of a response that must not be passed on, such as one from a target that sheds the
	// request. The connection is closed after such a response.
	CheckResponse func(run effect.StartRun, response *http.Response) fleet.Option[fleet.Problem]
}

// NewProtocol returns jayfold's own protocol for targets.
func NewProtocol() Protocol {
	return Protocol{
		SetHeaders:   setHeaders,
		IsMismatched: isMismatched,
		IsIdentified: func(response *http.Response) bool { return response.Header.Get(headerRequest) != "" },
		CheckResponse: func(effect.StartRun, *http.Response) fleet.Option[fleet.Problem] {
			return fleet.Option[fleet.Problem]{}
		},
	}
}

// The headers that jayfold's own protocol sets on requests to targets, and the prefix of all headers that nodes add.
const (
	headerRequest = "Jayfold-Request"
	headerTimeout = "Jayfold-Timeout"
	headerCaller  = "Jayfold-Caller"
	headerAccount = "Jayfold-Account"
	headerPrefix  = "Jayfold-"
)

// isMismatched reports whether a response names another request. Targets that name requests do so in every response, so that one
// without a name on a kept connection is not the response to this request either.
func isMismatched(run effect.StartRun, response *http.Response, reused bool) bool {
	id := response.Header.Get(headerRequest)
	if id == "" {
		return reused
	}
	return id != string(run.Attempt.ID.Request())
}

func setHeaders(header http.Header, run effect.StartRun, remaining time.Duration) {
	if run.Attempt.Caller != "" {
		header.Set(headerCaller, string(run.Attempt.Caller))
	}
	if run.Attempt.Account != "" {
		header.Set(headerAccount, string(run.Attempt.Account))
	}
	header.Set(headerRequest, string(run.Attempt.ID.Request()))
	header.Set(headerTimeout, remaining.Round(time.Microsecond).String())
}
