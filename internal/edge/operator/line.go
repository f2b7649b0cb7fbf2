package operator

import (
	"fmt"
	"time"

	"github.com/apex/log"

	"jayfold.dev/jayfold/internal/core/effect"
)

const (
	// lineInterval is the time over which lines with the same text are counted. Traffic could otherwise repeat a line
	// 60,000 times a second.
	lineInterval = 10 * time.Second
	// textLimit bounds the texts whose lines are counted; the counts start over when there are more.
	textLimit = 512
)

// bursts are the lines with the same text that pass in an interval, by level: what failed is kept before what went well.
var bursts = map[effect.Level]int{effect.Info: 20, effect.Warn: 300, effect.Error: 300}

// lines writes the log and limits lines that repeat.
type lines struct {
	logger *log.Logger
	texts  map[string]repetition
}

// repetition counts the lines with one text in the current interval.
type repetition struct {
	since      time.Time
	written    int
	suppressed int
}

func newLines(logger *log.Logger) *lines {
	return &lines{logger: logger, texts: make(map[string]repetition)}
}

// levels maps the level of an effect to the entry's method that writes it.
var levels = map[effect.Level]func(*log.Entry, string){
	effect.Info:  (*log.Entry).Info,
	effect.Warn:  (*log.Entry).Warn,
	effect.Error: (*log.Entry).Error,
}

// write logs a line with its part as prefix, unless too many like it were logged lately. The next line that passes says
// how many were suppressed.
func (l *lines) write(now time.Time, e effect.WriteLog) {
	text := e.Component + ": " + e.Message
	passes, suppressed := l.pass(now, text, bursts[e.Level])
	if !passes {
		return
	}
	fields := log.Fields{}
	for _, f := range e.Fields {
		fields[f.Name] = f.Value
		if words, ok := f.Value.(fmt.Stringer); ok {
			fields[f.Name] = words.String()
		}
	}
	if suppressed > 0 {
		fields["Suppressed"] = suppressed
	}
	levels[e.Level](l.logger.WithFields(fields), text)
}

// pass counts a line and reports whether it may be written and how many before it were not.
func (l *lines) pass(now time.Time, text string, burst int) (passes bool, suppressed int) {
	r := l.texts[text]
	if now.Sub(r.since) >= lineInterval {
		suppressed = r.suppressed
		r = repetition{since: now}
	}
	if len(l.texts) >= textLimit {
		clear(l.texts)
	}
	passes = r.written < burst
	if passes {
		r.written++
	} else {
		r.suppressed++
	}
	l.texts[text] = r
	return passes, suppressed
}
