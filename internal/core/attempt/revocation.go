package attempt

import (
	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// revoked reports whether the API key by which a request was accepted has been revoked since. Such a request gets no further attempt.
func (c Context) revoked(req activeRequest) bool {
	return c.Accounts.Revoked(req.credential, req.template.Account)
}

// refuseRevoked ends a request that waits and whose key was revoked. A request that no target can have run is refused as unauthorized;
// any other ends with the problem or the response that it has, because 401 would say that it has not run.
func (s State) refuseRevoked(ctx Context, req activeRequest) (State, []effect.Effect) {
	if req.verdict == fleet.NotRun && req.fallback == "" {
		return s.endRequest(ctx.Now, req, accounts.Count(accounts.KeyRevoked),
			effect.RefuseRequest{Request: req.id, Problem: accounts.RevokedProblem().WithRetryAfter(defaultRetryAfter), Parent: req.parent})
	}
	return s.endRequest(ctx.Now, req, req.finalEffect())
}
