package settings

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
)

// TestCallerConnections guards against connections of callers that use up the descriptors of the process.
func TestCallerConnections(t *testing.T) {
	for _, c := range []struct {
		descriptors uint64
		want        int
	}{{4100, 2050}, {1024, 512}, {0, 0}, {math.MaxUint64, maxDescriptors / 2}} {
		t.Run(fmt.Sprint(c.descriptors), func(t *testing.T) { is.New(t).Equal(callerConnections(c.descriptors), c.want) })
	}
	t.Run("of this process", func(t *testing.T) { is.New(t).True(CallerConnections() > 0) })
}
