package effect

import "time"

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

// Duration records a duration in a histogram.
type Duration struct {
	Name  string
	Tags  []Tag
	Value time.Duration
}

func (Log) isEffect()      {}
func (Count) isEffect()    {}
func (Duration) isEffect() {}
