package experiment

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestDetectionGoals guards against a detector that misses the goals for the time to detection, or that ejects healthy targets
// with the setting of Sicily, including during error bursts and slowdowns of the whole pool.
func TestDetectionGoals(t *testing.T) {
	var out strings.Builder
	err := Detection(&out, Options{Seed: 1, Short: true})
	if err != nil {
		t.Log(out.String())
	}
	is.New(t).NoErr(err)
}

// TestSeed guards against results that cannot be reproduced from their seed.
func TestSeed(t *testing.T) {
	is := is.New(t)
	s := scenarios[0]
	is.Equal(s.run(7, 1, algorithms[sicily].interval), s.run(7, 1, algorithms[sicily].interval))
}

// TestBaselines guards against baseline detectors that do not implement the rules in their names.
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

// TestBurstOfHalfThePool guards against an ejection in an error burst of half the pool: the detector reports the first failing
// target before the other ones have had enough requests to show the same evidence. Each of these seeds and repetitions led to an
// ejection.
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
