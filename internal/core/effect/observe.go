package effect

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// Level is the severity of a log line.
type Level uint8

// The log levels.
const (
	Info Level = iota
	Warn
	Error
)

// LogField is one field of a log line.
type LogField struct {
	Name string
	// Value may be a fmt.Stringer. It is formatted when the line is written, which keeps the cost out of the reducer step.
	Value any
}

// WriteLog writes a log line. Component names the component of the node that made the decision.
type WriteLog struct {
	Level     Level
	Component string
	Message   string
	Fields    []LogField
}

// Label is a label of a metric.
type Label struct {
	Name  string
	Value string
}

// AddToCounter adds Delta to a counter.
type AddToCounter struct {
	Name   string
	Labels []Label
	Delta  int64
}

// MetricLabels holds the metric labels of a finished request or attempt.
type MetricLabels struct {
	// Service and Class are those of the route.
	Service, Class string
	// Outcome is the cause of the problem, or another value such as Answered if there was no problem.
	Outcome string
}

// RecordRequest counts a finished request and records its duration by service and class and by caller.
type RecordRequest struct {
	MetricLabels
	Caller fleet.Caller
	// Duration is absent if the request was refused on arrival.
	Duration fleet.Option[time.Duration]
}

// RecordAttempt counts a finished attempt and records its duration by service and class.
type RecordAttempt struct {
	MetricLabels
	Duration time.Duration
}

// RecordPlacement counts an attempt whose target was chosen by expected cost, and records how its duration compares with the expected
// one.
type RecordPlacement struct {
	MetricLabels
	// Mode is how the target was asked, and Zone is own or other.
	Mode, Zone string
	// Expected is the expected duration; 0 if unknown. Actual is 0 if no target has run the attempt.
	Expected, Actual time.Duration
}

func (WriteLog) isEffect()      {}
func (AddToCounter) isEffect()  {}
func (RecordRequest) isEffect() {}
func (RecordAttempt) isEffect() {}

func (RecordPlacement) isEffect() {}
