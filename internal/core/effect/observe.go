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
	Failure
)

// Field is one field of a log line.
type Field struct {
	Name string
	// Value may be a fmt.Stringer; it is put into words when the line is written, so that a step does not wait for it.
	Value any
}

// Log writes a line to the log: a short sentence of the part that decided.
type Log struct {
	Level  Level
	Part   string
	Text   string
	Fields []Field
}

// Tag is one label of a metric.
type Tag struct {
	Name  string
	Value string
}

// Count adds to a counter.
type Count struct {
	Name  string
	Tags  []Tag
	Delta int64
}

// Ended is the end of a request or of an attempt, as it is counted.
type Ended struct {
	// Service and Class are those of the route.
	Service, Class string
	// Outcome is the cause of the problem, or a word for an end without one.
	Outcome string
}

// RequestEnded counts a request, and records its duration by service and class, and by caller.
type RequestEnded struct {
	Ended
	Caller fleet.Caller
	// Took is absent for a request that was refused on arrival.
	Took fleet.Option[time.Duration]
}

// AttemptEnded counts an attempt, and records its duration by service and class.
type AttemptEnded struct {
	Ended
	Took time.Duration
}

func (Log) isEffect()          {}
func (Count) isEffect()        {}
func (RequestEnded) isEffect() {}
func (AttemptEnded) isEffect() {}
