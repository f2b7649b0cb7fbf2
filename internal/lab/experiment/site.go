package experiment

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log/handlers/discard"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/lab/load"
	"jayfold.dev/jayfold/internal/lab/testbed"
)

// The size of the Sicilian site: three nodes, each in its own availability zone, and six targets with four slots and 300
// connections each.
const (
	sicilyNodes       = 3
	sicilyTargets     = 6
	sicilySlots       = 4
	sicilyConnections = 300
)

const sitePool fleet.PoolName = "catalogue"

// newSite starts a testbed with one service at the size of the Sicilian site.
func newSite(interval, serviceTime time.Duration) (*testbed.Testbed, error) {
	return testbed.New(testbed.Settings{
		Nodes:             sicilyNodes,
		AvailabilityZones: []fleet.AvailabilityZone{"palermo", "catania", "siracusa"},
		Tables:            singlePoolTables(interval, 4),
		Pools: []testbed.Pool{{
			Name:        sitePool,
			Targets:     sicilyTargets,
			Slots:       sicilySlots,
			Connections: sicilyConnections,
			ServiceTime: serviceTime,
		}},
		Log: discard.New(),
	})
}

// singlePoolTables returns tables that route lookups and orders to one pool.
func singlePoolTables(interval time.Duration, floor int) fleet.Tables {
	var pools fleet.Map[fleet.PoolName, fleet.Pool]
	return fleet.Tables{
		Routes: []fleet.Route{
			{Name: "lookup", PathPrefix: "/catalogue", Pool: sitePool, Class: fleet.Lookup, Deadline: 2 * time.Second},
			{Name: "order", PathPrefix: "/orders", Pool: sitePool, Class: fleet.Order, Deadline: 10 * time.Second},
		},
		Pools: pools.With(sitePool, fleet.Pool{
			Name:                  sitePool,
			Service:               "catalogue",
			Floor:                 floor,
			FalseEjectionInterval: interval,
		}),
	}
}

// sendLoad sends requests to all nodes of a site. It returns an error if a guarantee was violated, or if a ledger of a target is
// missing, because the orders could not be compared with it.
func sendLoad(ctx context.Context, bed *testbed.Testbed, rate, orderShare float64, duration time.Duration) (load.Report, error) {
	settings := load.Settings{
		Rate:       rate,
		Duration:   duration,
		OrderShare: orderShare,
		LookupPath: "/catalogue",
		OrderPath:  "/orders",
		Timeout:    30 * time.Second,
	}
	for _, n := range bed.Nodes {
		settings.URLs = append(settings.URLs, n.CallersURL())
	}
	for _, t := range bed.Targets {
		settings.Ledgers = append(settings.Ledgers, "http://"+t.Standin.Address())
	}
	report, err := load.New(settings, load.NewSeams()).Run(ctx)
	if err != nil {
		return report, err
	}
	if report.Orders.Missing > 0 {
		return report, fmt.Errorf("experiment: the ledgers of %d targets could not be read", report.Orders.Missing)
	}
	if violations := report.Violations(); len(violations) > 0 {
		return report, fmt.Errorf("experiment: guarantees violated: %s", strings.Join(violations, "; "))
	}
	return report, nil
}

// slowerThan returns the number of successful lookups that took longer than limit.
func slowerThan(report load.Report, limit time.Duration) int {
	count := int64(0)
	for _, bar := range report.Latency["lookup"].Distribution() {
		if bar.From > limit.Microseconds()*int64(time.Microsecond) {
			count += bar.Count
		}
	}
	return int(count)
}

// lookupQuantile returns a quantile of the lookup latency; q is in percent.
func lookupQuantile(report load.Report, q float64) time.Duration {
	return time.Duration(report.Latency["lookup"].ValueAtQuantile(q))
}

// sumCounter returns the sum of a counter over all nodes and labels, as read from /metrics.
func sumCounter(ctx context.Context, bed *testbed.Testbed, name string) (float64, error) {
	sum := 0.0
	for _, n := range bed.Nodes {
		value, err := readCounter(ctx, "http://"+n.OperatorsAddress()+"/metrics", name)
		if err != nil {
			return 0, err
		}
		sum += value
	}
	return sum, nil
}

func readCounter(ctx context.Context, url, name string) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	sum := 0.0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		series, value, found := strings.Cut(lines.Text(), " ")
		metric, _, _ := strings.Cut(series, "{")
		if !found || metric != name {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, err
		}
		sum += number
	}
	return sum, lines.Err()
}
