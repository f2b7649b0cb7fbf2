package fleet

import "time"

// Settings holds the settings that a reload passes to the running node. A changed Limits.HeaderTimeout takes effect only after a
// restart.
type Settings struct {
	RetryBudget RetryBudget
	// HeartbeatInterval is the interval at which targets send heartbeats.
	HeartbeatInterval time.Duration
	// StopGrace is the time from a shutdown request until the process is terminated forcibly.
	StopGrace time.Duration
	// LogLevel is the lowest level that is logged: debug, info, warn or error.
	LogLevel string
	// MeteredZones is true if bytes between availability zones are expensive.
	MeteredZones bool
	// Placement is how the target of an attempt is chosen; empty means PlacementByCount.
	Placement Placement
	// Limits apply where the tables set none.
	Limits Limits
	// CallerMemory is the memory in bytes that callers may make the node hold, and ProcessMemory the size towards which the runtime keeps
	// the process; 0 means no bound.
	CallerMemory, ProcessMemory int64
}

// RetryBudget limits the retries sent to one pool: within any Window there are at most Ratio times the pool's requests, plus
// Slack. Each target's sidecar applies Ratio to the requests that reach it and adds an equal part of Slack. All
// requests pass through the sidecars, and a pool has far fewer sidecars than there are ingresses. The budget therefore holds
// without messages between nodes, and little of it is allotted where it is not needed.
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}
