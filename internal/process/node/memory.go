package node

import (
	"math"
	"os"
	"runtime/debug"
)

// setMemoryLimit sets the size towards which the runtime keeps the process; 0 means no bound. A GOMEMLIMIT in the environment stays in force.
func setMemoryLimit(bytes int64) {
	if os.Getenv("GOMEMLIMIT") != "" {
		return
	}
	if bytes == 0 {
		bytes = math.MaxInt64
	}
	debug.SetMemoryLimit(bytes)
}
