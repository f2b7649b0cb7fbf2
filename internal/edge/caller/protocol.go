package caller

import (
	"net/http"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// Protocol translates between callers' HTTP messages and jayfold's types. The rest of the server and the reducer do not depend
// on the protocol.
type Protocol struct {
	// Decode translates a request whose body has been read. It may change the headers that are forwarded to the target. If
	// the request that it returns has no id, the server generates one. Errors are of type fleet.Problem.
	Decode func(r *http.Request, body []byte) (fleet.Request, error)
	// RemoveCredentials removes the API key, and an account that the caller named, from the headers that are forwarded.
	RemoveCredentials func(header http.Header)
	// Refuse responds with a problem.
	Refuse func(w http.ResponseWriter, request fleet.RequestID, problem fleet.Problem)
	// SetHeaders sets the headers that jayfold adds to a target's response.
	SetHeaders func(header http.Header, request fleet.RequestID, verdict fleet.Verdict)
}

// NewProtocol returns jayfold's own protocol for callers.
func NewProtocol() Protocol {
	return Protocol{Decode: decodeRequest, RemoveCredentials: removeCredentials, Refuse: writeRefusal, SetHeaders: setHeaders}
}
