package load_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/lab/load"
)

// server passes every request to its handler and keeps a ledger, to which the handler adds an order by calling run.
type server struct {
	mu      sync.Mutex
	ledger  map[string]int
	handler func(w http.ResponseWriter, r *http.Request, run func())
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/admin/ledger" {
		var entries []map[string]any
		for token, runs := range s.ledger {
			entries = append(entries, map[string]any{"Token": token, "Runs": runs})
		}
		_ = json.NewEncoder(w).Encode(entries)
		return
	}
	s.handler(w, r, func() { s.ledger[r.Header.Get("Lab-Token")]++ })
}

func writeToken(w http.ResponseWriter, token string) {
	w.Header().Set("Jayfold-Verdict", "Ran")
	_, _ = fmt.Fprintf(w, `{"Token":%q,"Padding":""}`, token)
}

// generate sends 20 requests to a server with the given handler.
func generate(t *testing.T, orderShare float64, handler func(http.ResponseWriter, *http.Request, func())) load.Report {
	t.Helper()
	s := httptest.NewServer(&server{ledger: map[string]int{}, handler: handler})
	defer s.Close()
	report, err := load.New(load.Settings{
		URLs: []string{s.URL}, Rate: 1000, Duration: 20 * time.Millisecond, OrderShare: orderShare, LookupPath: "/items",
		OrderPath: "/orders", Timeout: time.Second, Ledgers: []string{s.URL},
	}, load.NewSeams()).Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// assertViolation checks that the report has one violation, which contains want, or none if want is empty.
func assertViolation(is *is.I, report load.Report, want string) {
	is.Helper()
	var text strings.Builder
	report.Write(&text)
	if want == "" {
		is.Equal(report.Violations(), nil) // no guarantee is violated
		return
	}
	is.Equal(len(report.Violations()), 1)
	is.True(strings.Contains(report.Violations()[0], want))
	is.True(strings.Contains(text.String(), "BREACH")) // the report shows the violation
}

// TestViolations guards against a load generator that does not detect a violated guarantee: every check that relies on it would
// pass.
func TestViolations(t *testing.T) {
	token := func(r *http.Request) string { return r.Header.Get("Lab-Token") }
	cases := []struct {
		name    string
		handler func(http.ResponseWriter, *http.Request, func())
		want    string
	}{
		{"no violation", func(w http.ResponseWriter, r *http.Request, run func()) {
			run()
			writeToken(w, token(r))
		}, ""},
		{"response to another caller", func(w http.ResponseWriter, _ *http.Request, run func()) {
			run()
			writeToken(w, "other")
		}, "own request"},
		{"order runs twice", func(w http.ResponseWriter, r *http.Request, run func()) {
			run()
			run()
			writeToken(w, token(r))
		}, "more than once"},
		{"order runs despite the verdict NotRun", func(w http.ResponseWriter, _ *http.Request, run func()) {
			run()
			w.Header().Set("Jayfold-Verdict", "NotRun")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, "told that they did not run"},
		{"order is lost", func(w http.ResponseWriter, r *http.Request, _ func()) { writeToken(w, token(r)) }, "no target started"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			report := generate(t, 1, c.handler)
			is.Equal(report.Sent["order"], 20)
			assertViolation(is, report, c.want)
		})
	}
}

// TestCounts guards against counting a refused or truncated response as a success.
func TestCounts(t *testing.T) {
	t.Run("truncated", func(t *testing.T) {
		is := is.New(t)
		report := generate(t, 0, func(w http.ResponseWriter, _ *http.Request, _ func()) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, `{"Tok`)
		})
		is.Equal(report.Succeeded["lookup"], 0)
		is.Equal(report.Rows, []load.Row{{Class: "lookup", Status: 200, Fault: "truncated", Count: 20}})
	})
	t.Run("refused", func(t *testing.T) {
		is := is.New(t)
		report := generate(t, 0, func(w http.ResponseWriter, _ *http.Request, _ func()) { w.WriteHeader(503) })
		is.Equal(report.Succeeded["lookup"], 0)
		assertViolation(is, report, "")
	})
}

// TestLedgerFile guards against ignoring the ledger file of a target: after a target has been killed, its ledger can be read only
// from the file.
func TestLedgerFile(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "ledger")
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := r.Header.Get("Lab-Token")
		is.NoErr(os.WriteFile(file, []byte(token+"\n"+token+"\n"), 0o600))
		writeToken(w, token)
	}))
	defer s.Close()
	report, err := load.New(load.Settings{
		URLs: []string{s.URL}, Rate: 10, Duration: 50 * time.Millisecond, OrderShare: 1, OrderPath: "/orders",
		Timeout: time.Second, Ledgers: []string{file, file + ".missing"},
	}, load.NewSeams()).Run(t.Context())
	is.NoErr(err)
	is.Equal(report.Orders, load.LedgerComparison{
		Ledgers: 1, Missing: 1, Started: 1, RanTwice: 1, Examples: report.Orders.Examples,
	})
	is.Equal(len(report.Orders.Examples), 1)
	assertViolation(is, report, "more than once")
}
