package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/routing"
)

// newAccountNode returns a node like newParentNode that has been up for a minute, whose tables have the account acme with the given
// key and priority 2, and the public route /shop.
func newAccountNode(key string) *runner {
	r := newParentNode()
	r.reduce(event.Tick{})
	r.now = r.now.Add(time.Minute)
	r.heartbeat()
	r.applyAccounts(key)
	return r
}

// applyAccounts brings the next revision into force, in which acme has the given key.
func (r *runner) applyAccounts(key string) {
	tables := r.state.tables.Current().WithRevision(r.state.Revision() + 1)
	tables.Routes = append([]fleet.Route(nil), tables.Routes...)
	tables.Routes[0].Public = true
	tables.Routes[1].Priority = 5
	tables.Accounts = tables.Accounts.With("acme", fleet.Account{Name: "acme", Keys: []fleet.KeyHash{fleet.HashKey(key)}, Priority: 2})
	r.reduce(event.TablesDecoded{Tables: tables, Router: routing.New(tables), Accounts: accounts.New(tables)})
}

// send sends a request with the given key and parent. Without an attempt, the problem is that of the refusal.
func (r *runner) send(id fleet.RequestID, path, key string, parent fleet.RequestID) (fleet.Attempt, fleet.Problem, []effect.Effect) {
	request := fleet.Request{ID: id, Method: "GET", Path: path, Parent: parent}
	if key != "" {
		request.Credential = fleet.NewCredential([]string{key})
	}
	effects := r.reduce(event.RequestArrived{Request: request})
	for _, e := range effects {
		switch e := e.(type) {
		case effect.ForwardAttempt:
			return e.Attempt, fleet.Problem{}, effects
		case effect.RefuseRequest:
			return fleet.Attempt{}, e.Problem, effects
		}
	}
	return fleet.Attempt{}, fleet.Problem{}, effects
}

// TestAccountOfRequest guards against requests that run without a key or for another account, and against an order of attempts that
// ignores the account.
func TestAccountOfRequest(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		parent    fleet.RequestID
		account   fleet.AccountName
		priority  int
		cause     fleet.Cause
	}{
		"a key":                 {path: "/stock/1", key: "key", account: "acme", priority: 2*fleet.PriorityLevels + 5},
		"an unknown key":        {path: "/stock/1", key: "other", cause: fleet.Unauthorized},
		"no key":                {path: "/stock/1", cause: fleet.Unauthorized},
		"a public route":        {path: "/shop/1", key: "key", priority: 2 * fleet.PriorityLevels},
		"no route":              {path: "/none", cause: fleet.NoRoute},
		"a running parent":      {path: "/stock/1", parent: "parent", priority: 5},
		"a parent that has run": {path: "/stock/1", parent: "ended", priority: 5},
		"an unknown parent":     {path: "/stock/1", parent: "other", cause: fleet.UnknownParent},
	} {
		t.Run(name, func(t *testing.T) {
			is, r := is.New(t), newAccountNode("key")
			for _, parent := range []fleet.RequestID{"parent", "ended"} {
				r.reduce(event.AdmissionRequested{Attempt: fleet.Attempt{
					ID: fleet.NewAttemptID(parent, 3), Target: "n1/t", Pool: "shop", Deadline: r.now.Add(time.Second),
				}})
			}
			r.reduce(event.RunFinished{Attempt: "ended.3", Outcome: fleet.Outcome{Status: 200}})
			attempt, problem, effects := r.send("r", c.path, c.key, c.parent)
			is.Equal(problem.Cause, c.cause)
			is.Equal(attempt.Account, c.account)
			is.Equal(attempt.Priority, c.priority)
			for _, e := range effects {
				if refusal, ok := e.(effect.RefuseRequest); ok {
					is.Equal(refusal.Problem.Verdict, fleet.NotRun)
				}
				if line, ok := e.(effect.WriteLog); ok {
					is.True(!strings.Contains(fmt.Sprint(line.Fields), fmt.Sprintf("%x", fleet.HashKey(c.key)))) // keys are not logged
				}
			}
		})
	}
}

// TestUnknownParentAfterStart guards against requests without a key that run on a node that has just started, because they name a parent that
// it can't know.
func TestUnknownParentAfterStart(t *testing.T) {
	is, r := is.New(t), newParentNode()
	r.reduce(event.Tick{})
	r.applyAccounts("key")
	attempt, problem, _ := r.send("r", "/stock/1", "", "unknown")
	is.Equal(attempt.ID, fleet.AttemptID(""))
	is.Equal(problem.Cause, fleet.UnknownParent)
	is.Equal(problem.Verdict, fleet.NotRun)
}

// TestRevokedKeyOnNode guards against a revoked key that is accepted again when an older revision arrives.
func TestRevokedKeyOnNode(t *testing.T) {
	is, r := is.New(t), newAccountNode("key")
	older := r.state.tables.Current()
	r.applyAccounts("new")
	_, problem, _ := r.send("r1", "/stock/1", "key", "")
	is.Equal(problem.Cause, fleet.Unauthorized)
	r.reduce(event.TablesDecoded{Tables: older, Router: routing.New(older), Accounts: accounts.New(older)})
	_, problem, _ = r.send("r2", "/stock/1", "key", "")
	is.Equal(problem.Cause, fleet.Unauthorized)
	attempt, _, _ := r.send("r3", "/stock/1", "new", "")
	is.Equal(attempt.Account, fleet.AccountName("acme"))
}

// TestNoTablesBeforeKeys guards against 401 or 404 from a node that has no tables yet.
func TestNoTablesBeforeKeys(t *testing.T) {
	r := newRunner(memberRecord("n1", 1))
	for _, key := range []string{"", "key"} {
		_, problem, _ := r.send("r", "/stock/1", key, "")
		is.New(t).Equal(problem.Cause, fleet.NoTables)
	}
}

// TestMissingIndex guards against tables with accounts that accept every request because their index was left out.
func TestMissingIndex(t *testing.T) {
	is, r := is.New(t), newAccountNode("key")
	tables := r.state.tables.Current().WithRevision(r.state.Revision() + 1)
	r.reduce(event.TablesDecoded{Tables: tables, Router: routing.New(tables)})
	_, problem, _ := r.send("r", "/stock/1", "", "")
	is.Equal(problem.Cause, fleet.Unauthorized)
}

// TestStatusOfAccounts guards against a status that does not show whether the accounts are in force.
func TestStatusOfAccounts(t *testing.T) {
	r := newAccountNode("key")
	is.New(t).Equal(r.state.Status(r.now).Accounts, 1)
}
