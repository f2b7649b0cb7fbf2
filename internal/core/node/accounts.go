package node

import (
	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// checkAccount decides whether a request that matches a route is accepted, and for which account.
func (s State) checkAccount(request fleet.Request, route fleet.Route) accounts.Decision {
	index := s.tables.Accounts()
	if !index.RequiresKeys() {
		return index.Check(accounts.Arrival{})
	}
	return index.Check(accounts.Arrival{
		Credential: request.Credential,
		Public:     route.Public,
		Parent:     s.parentOf(request),
	})
}

// parentOf returns what this node knows of the parent that a request names.
func (s State) parentOf(request fleet.Request) accounts.Parent {
	switch {
	case request.Parent == "":
		return accounts.NoParent
	case s.admission.HasRecentlyRun(request.Parent):
		return accounts.LocalParent
	default:
		return accounts.UnknownParent
	}
}
