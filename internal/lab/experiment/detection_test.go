package experiment

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestDetectionGoals guards against a detector that misses the goals of the design page: time to detection, and no false
// ejection at the strict setting, also in bursts and slowdowns of the whole pool.
func TestDetectionGoals(t *testing.T) {
	var out strings.Builder
	err := Detection(&out, Options{Seed: 1, Short: true})
	if err != nil {
		t.Log(out.String())
	}
	is.New(t).NoErr(err)
}

// TestSeed guards against figures that cannot be reproduced.
func TestSeed(t *testing.T) {
	is := is.New(t)
	s := scenarios[0]
	is.Equal(s.run(7, 1, algorithms[sicily].interval), s.run(7, 1, algorithms[sicily].interval))
}

// TestBaselines guards against a comparison with baselines that do not do what their names say.
func TestBaselines(t *testing.T) {
	alarmAfter := func(d detector, bits string) int {
		for i, b := range bits {
			if d(simulationStart, 0, b == 'x') {
				return i + 1
			}
		}
		return 0
	}
	is := is.New(t)
	is.Equal(alarmAfter(consecutiveFailures(0, poolP95), "xxxx.xxxxx"), 10)
	is.Equal(alarmAfter(failureRate(0, poolP95), "..............xxxxx.x"), 21)
}

// TestBurstOfHalfThePool guards against the ejection of the first target of a burst, which the detector judges before the
// other failing ones have had enough requests to look like it. With each of these seeds one was ejected.
func TestBurstOfHalfThePool(t *testing.T) {
	burst := scenarios[slices.IndexFunc(scenarios, func(s scenario) bool { return s.name == "errors 50%, half the targets, 10 s" })]
	for _, run := range []struct {
		seed       uint64
		repetition int
	}{{1158, 7}, {1167, 16}, {1167, 19}, {1168, 4}, {1170, 15}, {1170, 18}, {1171, 3}, {1195, 6}, {1197, 15}, {1198, 2}} {
		t.Run(fmt.Sprintf("seed %d, run %d", run.seed, run.repetition), func(t *testing.T) {
			is.New(t).Equal(burst.run(run.seed, run.repetition, algorithms[sicily].interval).others[0], 0)
		})
	}
}
