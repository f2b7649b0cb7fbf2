// Package logfile reads the log files of nodes and traces one request through them.
//
// # Usage
//
//	lines, skipped, err := logfile.Read("sidecar-palermo-1.log", file)
//	trace := logfile.NewTrace(lines, "9c41d07be2a35f68")
//	trace.Print(os.Stdout)
//
// A log file has one JSON object a line, as nodes write them to standard output. What stands before the object, such as the
// mark of a log collector, is passed over; its last word names the node, unless a line "node: started" did so before.
package logfile

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// maxLine bounds one line of a log file, in bytes.
const maxLine = 1 << 20

// Line is one line of a node's log.
type Line struct {
	At    time.Time
	Node  string
	Level string
	// Text is the part's prefix and its sentence.
	Text   string
	Fields map[string]string
}

// wireLine is a line as the JSON handler of apex/log writes it.
type wireLine struct {
	Fields    map[string]any `json:"fields"`
	Level     string         `json:"level"`
	Timestamp time.Time      `json:"timestamp"`
	Message   string         `json:"message"`
}

// started is the text of a node's first line, which names the node.
const started = "node: started"

// Read reads the log of one node, or of several whose names stand before their lines. Lines that are no log lines are
// counted as skipped.
func Read(name string, from io.Reader) (lines []Line, skipped int, err error) {
	node := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		before, object, found := strings.Cut(scanner.Text(), "{")
		var wire wireLine
		if !found || decode("{"+object, &wire) != nil || wire.Message == "" {
			skipped++
			continue
		}
		line := wire.line()
		words := strings.Fields(before)
		switch {
		case len(words) > 0:
			line.Node = words[len(words)-1]
		case line.Text == started && line.Fields["Node"] != "":
			node = line.Fields["Node"]
			line.Node = node
		default:
			line.Node = node
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

// decode keeps numbers as they are written.
func decode(object string, to *wireLine) error {
	decoder := json.NewDecoder(strings.NewReader(object))
	decoder.UseNumber()
	return decoder.Decode(to)
}

func (w wireLine) line() Line {
	fields := make(map[string]string, len(w.Fields))
	for name, value := range w.Fields {
		fields[name] = fmt.Sprint(value)
	}
	return Line{At: w.Timestamp, Level: w.Level, Text: w.Message, Fields: fields}
}

// ordered returns the lines in the order of their times. Lines of one time keep their order.
func ordered(lines []Line) []Line {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return lines
}
