package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// ledgerDelay is the delay before the ledgers are read. Orders that the generator has canceled may still reach a target until
// then.
const ledgerDelay = 500 * time.Millisecond

// LedgerComparison counts how the verdicts on the orders match the ledgers of the targets.
type LedgerComparison struct {
	// Ledgers counts the ledgers that were read, Missing those that could not be read.
	Ledgers, Missing int
	// Started counts the orders of this run in the ledgers.
	Started int
	// RanTwice counts the orders that were started more than once, RanThoughNotRun those that were started despite the verdict
	// NotRun, and Lost those with the verdict Ran that were never started.
	RanTwice, RanThoughNotRun, Lost int
	// Unanswered counts the orders that were started but whose callers received no response.
	Unanswered int
	// Examples are the tokens of up to maxExamples orders that are counted in RanTwice, RanThoughNotRun, Lost or Unanswered. They
	// can be searched for in the logs.
	Examples []string
}

const maxExamples = 8

// String returns the comparison as a line of text.
func (c LedgerComparison) String() string {
	return fmt.Sprintf("orders in %d ledgers (%d missing): started %d, twice %d, though told NotRun %d, lost %d, unanswered %d",
		c.Ledgers, c.Missing, c.Started, c.RanTwice, c.RanThoughNotRun, c.Lost, c.Unanswered)
}

// compareWithLedgers reads the ledgers and compares them with the verdict on each order.
func (g *Generator) compareWithLedgers(ctx context.Context, verdicts map[string]string) LedgerComparison {
	select {
	case <-time.After(ledgerDelay):
	case <-ctx.Done():
	}
	var c LedgerComparison
	starts := map[string]int{}
	for _, ledger := range g.settings.Ledgers {
		if err := readLedger(ledger, g.seams, starts); err != nil {
			c.Missing++
			continue
		}
		c.Ledgers++
	}
	for token, verdict := range verdicts {
		c = c.withOrder(token, verdict, starts[token])
	}
	return c
}

// withOrder returns the comparison with one more order. Lost orders are counted only if no ledger is missing, because the
// missing ledger may contain the order.
func (c LedgerComparison) withOrder(token, verdict string, starts int) LedgerComparison {
	before := c.RanTwice + c.RanThoughNotRun + c.Lost + c.Unanswered
	if starts > 0 {
		c.Started++
	}
	if starts > 1 {
		c.RanTwice++
	}
	if starts > 0 && verdict == unanswered {
		c.Unanswered++
	}
	if starts > 0 && verdict == "NotRun" {
		c.RanThoughNotRun++
	}
	if starts == 0 && verdict == "Ran" && c.Missing == 0 {
		c.Lost++
	}
	if c.RanTwice+c.RanThoughNotRun+c.Lost+c.Unanswered > before && len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples[:len(c.Examples):len(c.Examples)], token)
	}
	return c
}

// readLedger adds the orders that a ledger records as started to starts, which counts them by token.
func readLedger(ledger string, seams Seams, starts map[string]int) error {
	if strings.HasPrefix(ledger, "http://") {
		return fetchLedger(ledger, seams, starts)
	}
	file, err := os.Open(ledger)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		starts[lines.Text()]++
	}
	return lines.Err()
}

// wireEntry is an entry in the ledger of a stand-in target.
type wireEntry struct {
	Token string
	Runs  int
}

// fetchLedger reads the ledger of the target at url.
func fetchLedger(url string, seams Seams, starts map[string]int) error {
	request, err := http.NewRequest(http.MethodGet, url+"/admin/ledger", nil)
	if err != nil {
		return err
	}
	response, err := seams.Send(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	var entries []wireEntry
	if err := json.Unmarshal(body, &entries); err != nil {
		return err
	}
	for _, e := range entries {
		starts[e.Token] += e.Runs
	}
	return nil
}
