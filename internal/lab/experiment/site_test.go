package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOrdersAreComparedWithLedgers guards against an experiment that sends orders without comparing them with the ledgers of
// the targets.
func TestOrdersAreComparedWithLedgers(t *testing.T) {
	bed, err := newSite(time.Hour, time.Millisecond)
	is.New(t).NoErr(err)
	defer bed.Stop()
	report, err := sendLoad(t.Context(), bed, 50, 0.5, time.Second)
	is.New(t).NoErr(err)
	is.New(t).Equal(report.Orders.Ledgers, sicilyTargets)
	is.New(t).True(report.Succeeded["order"] > 0)
	is.New(t).True(report.Orders.Started >= report.Succeeded["order"])
}
