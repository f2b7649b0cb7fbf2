package operator

import (
	"fmt"
	"time"

	"github.com/apex/log"

	"jayfold.dev/jayfold/internal/core/effect"
)

const (
	// rateLimitInterval is the interval in which lines with the same text are counted. Without a limit, traffic could repeat a
	// line 60,000 times a second.
	rateLimitInterval = 10 * time.Second
	// maxTexts is the maximum number of texts with a count. All counts are cleared when it is reached.
	maxTexts = 512
)

// bursts is the maximum number of lines with the same text per interval, by level. It is higher for warnings and errors, since
// they matter more than lines about normal operation.
var bursts = map[effect.Level]int{effect.Info: 20, effect.Warn: 300, effect.Error: 300}

// rateLimitedLogger writes the log and suppresses lines that repeat too often.
type rateLimitedLogger struct {
	logger *log.Logger
	counts map[string]lineCount
}

// lineCount counts the lines with one text in an interval.
type lineCount struct {
	since      time.Time
	written    int
	suppressed int
}

func newRateLimitedLogger(logger *log.Logger) *rateLimitedLogger {
	return &rateLimitedLogger{logger: logger, counts: make(map[string]lineCount)}
}

// logMethods maps levels to the methods that write a line of that level.
var logMethods = map[effect.Level]func(*log.Entry, string){
	effect.Info:  (*log.Entry).Info,
	effect.Warn:  (*log.Entry).Warn,
	effect.Error: (*log.Entry).Error,
}

// write writes a line with its component as prefix, unless the limit for its text is reached. The field Suppressed of the first
// line in a later interval is the number of lines that were suppressed.
func (l *rateLimitedLogger) write(now time.Time, e effect.WriteLog) {
	text := e.Component + ": " + e.Message
	allowed, suppressed := l.allow(now, text, bursts[e.Level])
	if !allowed {
		return
	}
	fields := log.Fields{}
	for _, f := range e.Fields {
		fields[f.Name] = f.Value
		if stringer, ok := f.Value.(fmt.Stringer); ok {
			fields[f.Name] = stringer.String()
		}
	}
	if suppressed > 0 {
		fields["Suppressed"] = suppressed
	}
	logMethods[e.Level](l.logger.WithFields(fields), text)
}

// allow counts a line and reports whether it may be written. For the first line of an interval, suppressed is the number of lines
// with the same text that were suppressed in an earlier interval; for all others it is 0.
func (l *rateLimitedLogger) allow(now time.Time, text string, burst int) (allowed bool, suppressed int) {
	c := l.counts[text]
	if now.Sub(c.since) >= rateLimitInterval {
		suppressed = c.suppressed
		c = lineCount{since: now}
	}
	if len(l.counts) >= maxTexts {
		clear(l.counts)
	}
	allowed = c.written < burst
	if allowed {
		c.written++
	} else {
		c.suppressed++
	}
	l.counts[text] = c
	return allowed, suppressed
}
