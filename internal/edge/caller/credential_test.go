package caller

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// forwardedHeader returns the header of the request that is forwarded for a request with the headers of an account, and the request as
// the reducer got it.
func forwardedHeader(t *testing.T, remove bool) (http.Header, fleet.Request) {
	t.Helper()
	ts := newTestServer(t)
	forwarded := make(chan http.Header, 1)
	respond := ts.server.seams.Forward
	ts.server.seams.Forward = func(ctx context.Context, e effect.ForwardAttempt, r *http.Request, body []byte) (
		*http.Response, func() fleet.Option[fleet.TargetReport], error) {
		forwarded <- r.Header.Clone()
		return respond(ctx, e, r, body)
	}
	var arrived fleet.Request
	ts.reduce = func(s *Server, body event.Body) {
		if body, ok := body.(event.RequestArrived); ok {
			arrived = body.Request
			attempt := fleet.Attempt{ID: fleet.NewAttemptID(arrived.ID, 1)}
			s.ForwardAttempt(effect.ForwardAttempt{Attempt: attempt, RemoveCredentials: remove})
			return
		}
		forwardOnce(s, body)
	}
	got := ts.do(t, ts.request(t, "GET", "/a", "", headerAccountKey, "secret", headerAccount, "forged", "X-Other", "kept"))
	is.New(t).Equal(got.status, http.StatusOK)
	return <-forwarded, arrived
}

// TestCredentialsAreRemoved guards against API keys and forged accounts that are forwarded although the tables have accounts, and
// against headers that are changed although they have none.
func TestCredentialsAreRemoved(t *testing.T) {
	t.Run("the tables have accounts", func(t *testing.T) {
		is := is.New(t)
		header, request := forwardedHeader(t, true)
		is.Equal(header.Get(headerAccountKey)+header.Get(headerAccount), "")
		is.Equal(header.Get("X-Other"), "kept")
		is.Equal(request.Credential, fleet.Credential{Kind: fleet.KeyCredential, Hash: fleet.HashKey("secret")})
	})
	t.Run("the tables have no accounts", func(t *testing.T) {
		header, _ := forwardedHeader(t, false)
		is.New(t).Equal(header.Get(headerAccountKey)+header.Get(headerAccount), "secretforged")
	})
}

// TestUnreadableKeyIsNoBadRequest guards against a status other than 401 for a key that cannot be read, and against such a key that
// counts as none.
func TestUnreadableKeyIsNoBadRequest(t *testing.T) {
	for name, values := range map[string][]string{
		"repeated": {"a", "a"}, "too long": {strings.Repeat("k", 257)}, "outside ASCII": {"\xff"}, "a control byte": {"a\tb"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://a.example/a", nil)
			is.NoErr(err)
			r.Header[headerAccountKey] = values
			request, err := decodeRequest(r, nil)
			is.NoErr(err)
			is.Equal(request.Credential, fleet.Credential{Kind: fleet.UnreadableCredential})
		})
	}
}
