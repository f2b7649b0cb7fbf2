package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// accountLoad describes the client accounts of a pattern. Its zero value is a site without accounts.
type accountLoad struct {
	// count is the number of accounts. All usually send the same.
	count int
	// factor is how many times its usual the first account sends during the burst.
	factor float64
	// resends is how often the first account sends a failed request again at once.
	resends int
}

const (
	// heavy is the account that sends more than usual.
	heavy = 0
	// noAccount is the account of requests without one.
	noAccount = -1
)

// inBurst reports whether a time lies in the burst of the first account.
func inBurst(at time.Duration) bool { return between(at, 8*time.Second, 18*time.Second) }

// factorAt returns how many times its usual the first account sends at a time.
func (l accountLoad) factorAt(at time.Duration) float64 {
	if l.factor > 0 && inBurst(at) {
		return l.factor
	}
	return 1
}

// loadFactor returns the factor by which the first account raises the load of all.
func (l accountLoad) loadFactor(at time.Duration) float64 {
	if l.count == 0 {
		return 1
	}
	return 1 + (l.factorAt(at)-1)/float64(l.count)
}

// draw returns the account of a request.
func (l accountLoad) draw(at time.Duration, random *rand.Rand) int {
	factor := l.factorAt(at)
	position := random.Float64() * (float64(l.count-1) + factor)
	if position < factor {
		return heavy
	}
	return min(1+int(position-factor), l.count-1)
}

func accountName(account int) fleet.AccountName {
	return fleet.AccountName(fmt.Sprintf("account-%d", account))
}

// keyOf returns the API key of an account.
func keyOf(account int) string { return fmt.Sprintf("key-%d", account) }

// withAccounts returns the tables with the accounts of a pattern.
func (l accountLoad) withAccounts(tables fleet.Tables) fleet.Tables {
	for account := range l.count {
		name := accountName(account)
		tables.Accounts = tables.Accounts.With(name, fleet.Account{Name: name, Keys: []fleet.KeyHash{fleet.HashKey(keyOf(account))}})
	}
	return tables
}

// accountStats counts the requests that accounts sent during the burst, each repetition included, and those that were served.
type accountStats map[int]accountCount

type accountCount struct{ sent, served int }

func (s accountStats) add(account int, served bool) {
	c := s[account]
	c.sent++
	if served {
		c.served++
	}
	s[account] = c
}

// lowestShare returns the lowest share of an account's requests that were served, relative to the share over all accounts; 1 if there
// are no accounts.
func (s accountStats) lowestShare() float64 {
	var all accountCount
	for _, c := range s {
		all.sent += c.sent
		all.served += c.served
	}
	lowest := 1.0
	for _, c := range s {
		lowest = min(lowest, share(c)/math.Max(share(all), 1e-9))
	}
	return lowest
}

func share(c accountCount) float64 { return float64(c.served) / float64(max(c.sent, 1)) }

// othersServed returns the share of the requests of all accounts but the first that were served.
func (s accountStats) othersServed() float64 {
	var others accountCount
	for account, c := range s {
		if account != heavy {
			others.sent += c.sent
			others.served += c.served
		}
	}
	return share(others)
}

// sharingPatterns lists loads in which accounts compete for scarce capacity.
var sharingPatterns = []Pattern{
	{Name: "one account sends 7x", accounts: accountLoad{count: 4, factor: 7}},
	{Name: "one of many accounts sends 40x", accounts: accountLoad{count: 24, factor: 40}},
	{Name: "one of four accounts sends 40x", accounts: accountLoad{count: 4, factor: 40}},
	{Name: "all accounts send 6x", accounts: accountLoad{count: 24}, loadFactor: burst(6, order, lookup)},
	{Name: "all accounts send 3x", accounts: accountLoad{count: 24}, loadFactor: burst(3, order, lookup)},
	{Name: "an account sends 7x and repeats at once", accounts: accountLoad{count: 4, factor: 7, resends: 30}},
	{Name: "burst of orders on the pool that lookups call, 5x", accounts: accountLoad{count: 24}, loadFactor: burst(5, order)},
	{Name: "half of the pool sheds, one account sends 7x", accounts: accountLoad{count: 4, factor: 7},
		conditionAt: func(t *target, at time.Duration) condition {
			if t.index%2 == 0 {
				return shedding(t, at)
			}
			return condition{}
		}},
	{Name: "cold pool after a release, one account sends 7x", accounts: accountLoad{count: 4, factor: 7},
		conditionAt: func(t *target, at time.Duration) condition {
			if t.pool == pools[1] && between(at, 8*time.Second, 11*time.Second) {
				return condition{slowdown: 2}
			}
			return condition{}
		}},
}
