package accounts

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// parentRetryAfter is the time after which a caller should repeat a request whose parent is not known.
const parentRetryAfter = time.Second

// Arrival is what decides about the account of a request.
type Arrival struct {
	Credential fleet.Credential
	// Public is true if the route needs no key.
	Public bool
	// Parent tells what is known of the request that the request names as its parent.
	Parent Parent
}

// Parent is what a node knows of the parent that a request names.
type Parent uint8

// The kinds of parents.
const (
	// NoParent is that of a request which names none.
	NoParent Parent = iota
	// UnknownParent has not run on this host, as far as the node knows.
	UnknownParent
	// LocalParent runs or has recently run on this host.
	LocalParent
)

// Reason tells why a request was accepted or refused. It is the label of the counter of checks.
type Reason string

// The reasons.
const (
	// KeysNotRequired is the reason if the tables have no accounts.
	KeysNotRequired Reason = "KeysNotRequired"
	PublicRoute     Reason = "PublicRoute"
	KeyAccepted     Reason = "KeyAccepted"
	ChildRequest    Reason = "ChildRequest"
	KeyUnreadable   Reason = "KeyUnreadable"
	KeyUnknown      Reason = "KeyUnknown"
	KeyMissing      Reason = "KeyMissing"
	ParentUnknown   Reason = "ParentUnknown"
	// KeyRevoked is the reason if the key is revoked while the request waits.
	KeyRevoked Reason = "KeyRevoked"
)

// Decision is the result of a check.
type Decision struct {
	Reason Reason
	// Account holds the key; its zero value is that of requests without an account.
	Account fleet.Account
	// Priority goes before that of the route: the account's, or 0 for a child request, which running work waits for. Other requests
	// without an account are as urgent as the least urgent account.
	Priority int
	// Child is true for a child request without a key.
	Child bool
	// Problem is present if the request is refused.
	Problem fleet.Option[fleet.Problem]
}

// Check decides whether a request is accepted, and for which account.
func (x Index) Check(a Arrival) Decision {
	switch {
	case x.entries == nil:
		return Decision{Reason: KeysNotRequired}
	case a.Public && a.Parent == LocalParent:
		return Decision{Reason: PublicRoute, Child: true}
	case a.Public:
		return Decision{Reason: PublicRoute, Priority: x.entries.lowest}
	case a.Credential.Kind == fleet.UnreadableCredential:
		return unauthorized(KeyUnreadable, "the API key cannot be read")
	case a.Credential.Kind == fleet.NoCredential:
		return checkParent(a)
	}
	account, ok := x.Find(a.Credential)
	if !ok {
		return unauthorized(KeyUnknown, "no account has this API key")
	}
	return Decision{Reason: KeyAccepted, Account: account, Priority: account.Priority}
}

// checkParent decides about a request without a key. Targets send no keys with the requests that they make while they run another. Anybody
// can name a parent, so that only one that this node knows counts, also just after its start: what ran before lost its response with
// the node's earlier process.
func checkParent(a Arrival) Decision {
	switch a.Parent {
	case NoParent:
		return unauthorized(KeyMissing, "the request has no API key")
	case LocalParent:
		return Decision{Reason: ChildRequest, Child: true}
	}
	problem := fleet.NewProblem(fleet.UnknownParent, fleet.NotRun, "the request has no API key and its parent has not run on this host")
	return Decision{Reason: ParentUnknown, Problem: fleet.Some(problem.WithRetryAfter(parentRetryAfter))}
}

func unauthorized(reason Reason, detail string) Decision {
	return Decision{Reason: reason, Problem: fleet.Some(fleet.NewProblem(fleet.Unauthorized, fleet.NotRun, detail))}
}

// RevokedProblem is the problem of a request that has not run when its key is revoked.
func RevokedProblem() fleet.Problem {
	return fleet.NewProblem(fleet.Unauthorized, fleet.NotRun, "the API key was revoked while the request waited")
}

// Count returns the effect that counts a refused request.
func Count(reason Reason) effect.Effect {
	return effect.AddToCounter{
		Name: "account_refusals", Labels: []effect.Label{{Name: "reason", Value: string(reason)}}, Delta: 1,
	}
}
