package effect

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// Level is the level of a log line.
type Level uint8

// The levels.
const (
	Info Level = iota
	Warn
	Error
)

// LogField is one field of a log line.
type LogField struct {
	Name string
	// Value may be a fmt.Stringer; it is put into words when the line is written, so that a step does not wait for it.
	Value any
}

// WriteLog writes a line to the log: a short sentence of the part that decided.
type WriteLog struct {
	Level     Level
	Component string
	Message   string
	Fields    []LogField
}

// Label is one label of a metric.
type Label struct {
	Name  string
	Value string
}

// AddToCounter adds to a counter.
type AddToCounter struct {
	Name   string
	Labels []Label
	Delta  int64
}

// MetricLabels is the end of a request or of an attempt, as it is counted.
type MetricLabels struct {
	// Service and Class are those of the route.
	Service, Class string
	// Outcome is the cause of the problem, or a word for an end without one.
	Outcome string
}

// RecordRequest counts a request, and records its duration by service and class, and by caller.
type RecordRequest struct {
	MetricLabels
	Caller fleet.Caller
	// Duration is absent for a request that was refused on arrival.
	Duration fleet.Option[time.Duration]
}

// RecordAttempt counts an attempt, and records its duration by service and class.
type RecordAttempt struct {
	MetricLabels
	Duration time.Duration
}

func (WriteLog) isEffect()      {}
func (AddToCounter) isEffect()  {}
func (RecordRequest) isEffect() {}
func (RecordAttempt) isEffect() {}
