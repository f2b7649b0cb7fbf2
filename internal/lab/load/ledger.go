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

// ledgerWait is how long orders that were given up may still reach a target before the ledgers are read.
const ledgerWait = 500 * time.Millisecond

// LedgerComparison is how the verdicts on the orders agree with the targets' ledgers.
type LedgerComparison struct {
	// Ledgers were read, Missing could not be.
	Ledgers, Missing int
	// Started counts the orders of this run in the ledgers.
	Started int
	// RanTwice counts orders that were started more than once, RanThoughNotRun those that were started although their callers
	// were told that they did not run, and Lost those that were answered but never started.
	RanTwice, RanThoughNotRun, Lost int
	// Unanswered counts the orders that were started and whose callers got no answer.
	Unanswered int
	// Examples are tokens of the orders behind these counts, to look for them in the logs.
	Examples []string
}

// maxExamples bounds the examples.
const maxExamples = 8

// String returns the comparison as a line of text.
func (c LedgerComparison) String() string {
	return fmt.Sprintf("orders in %d ledgers (%d missing): started %d, twice %d, though told NotRun %d, lost %d, unanswered %d",
		c.Ledgers, c.Missing, c.Started, c.RanTwice, c.RanThoughNotRun, c.Lost, c.Unanswered)
}

// compare reads the ledgers and compares them with the verdict on each order.
func (g *Generator) compare(ctx context.Context, verdicts map[string]string) LedgerComparison {
	select {
	case <-time.After(ledgerWait):
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
		c = c.with(token, verdict, starts[token])
	}
	return c
}

// with returns the comparison after one more order. Orders can be lost from view only while a ledger is missing.
func (c LedgerComparison) with(token, verdict string, starts int) LedgerComparison {
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

// readLedger adds the starts of each token in a ledger.
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

// wireEntry is one entry of a stand-in target's ledger.
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
