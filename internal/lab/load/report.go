package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms have a range from 10 us to 2 min, with three significant digits.
const (
	lowestLatency     = int64(10 * time.Microsecond)
	highestLatency    = int64(2 * time.Minute)
	significantDigits = 3
)

// Row counts the requests with the same outcome.
type Row struct {
	Class   string
	Status  int
	Verdict string
	Fault   string
	Count   int
	// Problem is the problem stated in the refusal of one of these requests.
	Problem string
}

// Report is the result of a run.
type Report struct {
	Rate     float64
	Duration time.Duration
	Rows     []Row
	// Sent, Succeeded and Mismatched count requests by class, "lookup" or "order". Sent counts all requests, including those that
	// could not be sent. Succeeded counts those with a complete response and status 200, Mismatched those with status 200 and a
	// body that is not the complete response to the request.
	Sent, Succeeded, Mismatched map[string]int
	// Latency holds the latencies of successful requests by class, in nanoseconds.
	Latency map[string]*hdrhistogram.Histogram
	// Orders compares the orders with the ledgers. It is zero if there are no ledgers.
	Orders LedgerComparison

	verdicts map[string]string // the verdict on each order, by token; see verdictOf
}

var classes = []string{"lookup", "order"}

// collect aggregates results until the channel is closed.
func collect(results <-chan result) Report {
	report := Report{
		Sent: map[string]int{}, Succeeded: map[string]int{}, Mismatched: map[string]int{},
		Latency:  map[string]*hdrhistogram.Histogram{},
		verdicts: map[string]string{},
	}
	for _, class := range classes {
		report.Latency[class] = hdrhistogram.New(lowestLatency, highestLatency, significantDigits)
	}
	rows := map[Row]int{}
	problems := map[Row]string{}
	for r := range results {
		class := classOf(r.request)
		row := Row{Class: class, Status: r.status, Verdict: r.verdict, Fault: string(r.fault)}
		rows[row]++
		problems[row] = r.problem
		report.Sent[class]++
		if r.request.isOrder {
			report.verdicts[r.request.token] = verdictOf(r)
		}
		if r.fault == mismatched {
			report.Mismatched[class]++
		}
		if r.succeeded() {
			report.Succeeded[class]++
			_ = report.Latency[class].RecordValue(min(max(int64(r.latency), lowestLatency), highestLatency))
		}
	}
	report.Rows = sortedRows(rows, problems)
	return report
}

func classOf(r scheduledRequest) string {
	if r.isOrder {
		return "order"
	}
	return "lookup"
}

// unanswered is recorded as the verdict of an order whose caller received no response. The order may have run.
const unanswered = "Unanswered"

// failed is recorded instead of the verdict Ran for an order without a successful response, for example after an error of the
// target. A target without a free slot responds with 503 without starting the order, so such an order may be missing from the
// ledgers.
const failed = "Failed"

// verdictOf returns the verdict that is recorded for an order: what its caller knows about whether the order ran.
func verdictOf(r result) string {
	switch {
	case r.fault == notSent:
		return "NotRun"
	case r.verdict == "":
		return unanswered
	case r.verdict == "Ran" && !r.succeeded():
		return failed
	default:
		return r.verdict
	}
}

func sortedRows(counts map[Row]int, problems map[Row]string) []Row {
	rows := make([]Row, 0, len(counts))
	for row, count := range counts {
		row.Count, row.Problem = count, problems[row]
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.Class, b.Class), cmp.Compare(a.Status, b.Status),
			cmp.Compare(a.Verdict, b.Verdict), cmp.Compare(a.Fault, b.Fault),
		)
	})
	return rows
}

// Violations returns a description of each violated guarantee.
func (r Report) Violations() []string {
	var violations []string
	add := func(count int, text string) {
		if count > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", count, text))
		}
	}
	add(r.Mismatched["lookup"]+r.Mismatched["order"], "responses were not the complete response to their own request")
	add(r.Orders.RanTwice, "orders were started more than once")
	add(r.Orders.RanThoughNotRun, "orders were started although their callers were told that they did not run")
	add(r.Orders.Lost, "orders had the verdict Ran although no target started them")
	return violations
}

// Write prints the report as a text table.
func (r Report) Write(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format+"\n", values...) }
	line("rate %g/s for %s", r.Rate, r.Duration)
	for _, class := range classes {
		line("%ss: sent %d whole %d failed %d", class, r.Sent[class], r.Succeeded[class], r.Sent[class]-r.Succeeded[class])
	}
	line("\nclass\tstatus\tverdict\tfault\tcount\texample")
	for _, row := range r.Rows {
		line("%s\t%d\t%s\t%s\t%d\t%s",
			row.Class, row.Status, orDash(row.Verdict), orDash(row.Fault), row.Count, orDash(row.Problem))
	}
	line("\nlatency of successful requests\tp50\tp90\tp99\tp99.9\tmax")
	for _, class := range classes {
		h := r.Latency[class]
		line("%s\t%s\t%s\t%s\t%s\t%s", class, latencyAt(h, 50), latencyAt(h, 90), latencyAt(h, 99), latencyAt(h, 99.9), latencyAt(h, 100))
	}
	if r.Orders.Ledgers > 0 {
		line("\n%s", r.Orders)
	}
	for _, violation := range r.Violations() {
		line("BREACH: %s", violation)
	}
	if len(r.Orders.Examples) > 0 {
		line("orders to inspect: %s", strings.Join(r.Orders.Examples, " "))
	}
}

func orDash(text string) string { return cmp.Or(text, "-") }

func latencyAt(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percentile)).Round(10 * time.Microsecond)
}
