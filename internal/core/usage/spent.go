package usage

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// spentToken is a token with which a request started. It is returned if the request ends without having run.
type spentToken struct {
	account fleet.AccountName
	expires time.Time
}

// RequestNotRun returns the token of a request that ends without having run to this node, unless the token has expired.
func (s State) RequestNotRun(ctx Context, id fleet.RequestID) (State, Result) {
	token, ok := s.spent.Get(id)
	if !ok {
		return s, Result{}
	}
	s.spent = s.spent.Without(id)
	if _, limited := ctx.limit(token.account); !limited || !ctx.Now.Before(token.expires) {
		return s, Result{}
	}
	s = s.prepared(ctx)
	returned := s.account(token.account).withTokens(ctx.Now, batch{tokens: 1, expires: token.expires})
	s, result := s.serve(ctx, token.account, returned)
	return s.finished(result)
}

// HasSpent reports whether a request may have a token that has not expired.
func (s State) HasSpent() bool { return s.spent.Len() > 0 }

// withoutExpired returns the state without the tokens that can no longer be returned.
func (s State) withoutExpired(now time.Time) State {
	for id, token := range s.spent.All() {
		if !now.Before(token.expires) {
			s.spent = s.spent.Without(id)
		}
	}
	return s
}
