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

// The histograms reach from 10 us to 2 min with three significant figures.
const (
	lowest  = int64(10 * time.Microsecond)
	highest = int64(2 * time.Minute)
	figures = 3
)

// Row counts the requests that ended in the same way.
type Row struct {
	Class   string
	Status  int
	Verdict string
	Fault   string
	Count   int
	// Problem is that of one of the requests.
	Problem string
}

// Report is what a run showed.
type Report struct {
	Rate     float64
	Duration time.Duration
	Rows     []Row
	// Sent, Succeeded and Mismatched count requests by class, "lookup" or "order": all, those whose caller got the whole answer,
	// and those that got an answer that is not theirs.
	Sent, Succeeded, Mismatched map[string]int
	// Latency has the times of whole answers by class.
	Latency map[string]*hdrhistogram.Histogram
	// Orders compares the orders with the ledgers; it is zero without ledgers.
	Orders LedgerComparison

	orders map[string]string // verdict of each order by token; see verdictOf
}

var classes = []string{"lookup", "order"}

// collect counts results until there are no more.
func collect(results <-chan result) Report {
	report := Report{
		Sent: map[string]int{}, Succeeded: map[string]int{}, Mismatched: map[string]int{},
		Latency: map[string]*hdrhistogram.Histogram{},
		orders:  map[string]string{},
	}
	for _, class := range classes {
		report.Latency[class] = hdrhistogram.New(lowest, highest, figures)
	}
	rows := map[Row]int{}
	problems := map[Row]string{}
	for r := range results {
		class := classOf(r.call)
		row := Row{Class: class, Status: r.status, Verdict: r.verdict, Fault: string(r.fault)}
		rows[row]++
		problems[row] = r.problem
		report.Sent[class]++
		if r.call.order {
			report.orders[r.call.token] = verdictOf(r)
		}
		if r.fault == foreign {
			report.Mismatched[class]++
		}
		if r.whole() {
			report.Succeeded[class]++
			_ = report.Latency[class].RecordValue(min(max(int64(r.took), lowest), highest))
		}
	}
	report.Rows = sorted(rows, problems)
	return report
}

func classOf(c call) string {
	if c.order {
		return "order"
	}
	return "lookup"
}

// unanswered stands for the verdict of an order whose caller got no answer. It may have run.
const unanswered = "Unanswered"

// failed stands for the verdict of an order with the target's own failure as its answer. A target that is full answers 503
// without a start, so that such an order need not be in a ledger.
const failed = "Failed"

// verdictOf returns what the caller of an order knows.
func verdictOf(r result) string {
	switch {
	case r.fault == notSent:
		return "NotRun"
	case r.verdict == "":
		return unanswered
	case r.verdict == "Ran" && !r.whole():
		return failed
	default:
		return r.verdict
	}
}

func sorted(counts map[Row]int, problems map[Row]string) []Row {
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

// Breaches lists the guarantees that the run saw broken.
func (r Report) Breaches() []string {
	var breaches []string
	add := func(count int, text string) {
		if count > 0 {
			breaches = append(breaches, fmt.Sprintf("%d %s", count, text))
		}
	}
	add(r.Mismatched["lookup"]+r.Mismatched["order"], "answers were not the whole answer to their own request")
	add(r.Orders.RanTwice, "orders were started more than once")
	add(r.Orders.RanThoughNotRun, "orders were started although their callers were told that they did not run")
	add(r.Orders.Lost, "orders were answered although no target started them")
	return breaches
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
	line("\nclass\tstatus\tverdict\tfault\tcount\tsuch as")
	for _, row := range r.Rows {
		line("%s\t%d\t%s\t%s\t%d\t%s",
			row.Class, row.Status, dash(row.Verdict), dash(row.Fault), row.Count, dash(row.Problem))
	}
	line("\nlatency of whole answers\tp50\tp90\tp99\tp99.9\tmax")
	for _, class := range classes {
		h := r.Latency[class]
		line("%s\t%s\t%s\t%s\t%s\t%s", class, at(h, 50), at(h, 90), at(h, 99), at(h, 99.9), at(h, 100))
	}
	if r.Orders.Ledgers > 0 {
		line("\n%s", r.Orders)
	}
	for _, breach := range r.Breaches() {
		line("BREACH: %s", breach)
	}
	if len(r.Orders.Examples) > 0 {
		line("orders to look at: %s", strings.Join(r.Orders.Examples, " "))
	}
}

func dash(text string) string { return cmp.Or(text, "-") }

func at(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percentile)).Round(10 * time.Microsecond)
}
