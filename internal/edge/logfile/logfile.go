// Package logfile reads the log files of nodes and traces one request through them.
//
// # Usage
//
//	lines, skipped, err := logfile.Read("sidecar-palermo-1.log", file)
//	trace := logfile.NewTrace(lines, "9c41d07be2a35f68")
//	trace.Print(os.Stdout)
//
// A log file has one JSON object per line, as nodes write them to standard output. A prefix before the object, such as that of
// a log collector, is not part of the log line; its last word is the name of the node. Lines without a prefix belong to the node
// that the last "node: started" line before them names, or to the node with the name of the file if there is no such line.
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

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// Line is a log line of a node.
type Line struct {
	At    time.Time
	Node  string
	Level string
	// Text is the component, a colon and the message.
	Text   string
	Fields map[string]string
}

// wireLine is a log line in the format of the JSON handler of apex/log.
type wireLine struct {
	Fields    map[string]any `json:"fields"`
	Level     string         `json:"level"`
	Timestamp time.Time      `json:"timestamp"`
	Message   string         `json:"message"`
}

// startedText is the text of the first line of a process. Its field Node is the name of the node.
const startedText = "node: started"

// Read reads the log of one node, or of several nodes whose names are in the prefixes of their lines. skipped is the number of
// lines that are not log lines.
func Read(name string, from io.Reader) (lines []Line, skipped int, err error) {
	node := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		prefix, object, found := strings.Cut(scanner.Text(), "{")
		var wire wireLine
		if !found || decode("{"+object, &wire) != nil || wire.Message == "" {
			skipped++
			continue
		}
		line := wire.toLine()
		words := strings.Fields(prefix)
		switch {
		case len(words) > 0:
			line.Node = words[len(words)-1]
		case line.Text == startedText && line.Fields["Node"] != "":
			node = line.Fields["Node"]
			line.Node = node
		default:
			line.Node = node
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

// decode decodes a JSON object and keeps the notation of its numbers.
func decode(object string, to *wireLine) error {
	decoder := json.NewDecoder(strings.NewReader(object))
	decoder.UseNumber()
	return decoder.Decode(to)
}

func (w wireLine) toLine() Line {
	fields := make(map[string]string, len(w.Fields))
	for name, value := range w.Fields {
		fields[name] = fmt.Sprint(value)
	}
	return Line{At: w.Timestamp, Level: w.Level, Text: w.Message, Fields: fields}
}

// sortedByTime returns the lines sorted by time. Lines with the same time keep their order.
func sortedByTime(lines []Line) []Line {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return lines
}
