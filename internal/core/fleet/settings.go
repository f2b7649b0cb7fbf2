package fleet

import "time"

// Settings are what an operator may change while a node runs.
type Settings struct {
	RetryBudget RetryBudget
	// HeartbeatInterval is the time between two heartbeats of a target.
	HeartbeatInterval time.Duration
	// StopGrace is the time from the request to stop until the process is ended by force.
	StopGrace time.Duration
	// LogLevel is the lowest level of the log lines that are written: debug, info, warn or error.
	LogLevel string
	// Limits hold where the tables set none.
	Limits Limits
}

// RetryBudget bound the repeated attempts at one pool: within any Window there are at most Ratio times the pool's requests and
// Slack more. The sidecar of each target keeps to the part for the requests that reach it and to an equal part of the
// slack. All requests pass the sidecars, and there are far fewer of them before a pool than there are ingresses, so that
// the budget holds without a message between nodes and little of it lies where it is not needed.
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}
