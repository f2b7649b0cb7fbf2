package logfile

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Trace is the history of one request according to the logs.
type Trace struct {
	ID string
	// Snapshots holds the state of each node that logged a line about the request, at the time of its first such line.
	Snapshots []Snapshot
	// Lines holds the lines about the request and its child requests, sorted by time.
	Lines []Line
}

// Snapshot is the state of one node at a point in time, as given by its last log lines about the tables, the platform, targets
// and other nodes.
type Snapshot struct {
	Node string
	At   time.Time
	// LogLines holds the text, fields and age of each of these lines.
	LogLines []string
}

// NewTrace returns the trace of a request. The lines need not be sorted.
func NewTrace(lines []Line, id string) Trace {
	trace := Trace{ID: id}
	lines = sortedByTime(lines)
	requests := relatedRequests(lines, id)
	subjects := relatedSubjects(lines, requests)
	seen := map[string]bool{}
	for i, line := range lines {
		if !requests[line.Fields["Request"]] {
			continue
		}
		trace.Lines = append(trace.Lines, line)
		if !seen[line.Node] {
			seen[line.Node] = true
			trace.Snapshots = append(trace.Snapshots, newSnapshot(lines[:i], line, subjects))
		}
	}
	return trace
}

// relatedRequests returns the ids of a request and its child requests.
func relatedRequests(lines []Line, id string) map[string]bool {
	requests := map[string]bool{id: true}
	for _, line := range lines {
		if line.Fields["Parent"] == id {
			requests[line.Fields["Request"]] = true
		}
	}
	return requests
}

// relatedSubjects returns the targets that are named in the lines about the given requests, and the nodes of these targets.
func relatedSubjects(lines []Line, requests map[string]bool) map[string]bool {
	subjects := map[string]bool{}
	for _, line := range lines {
		if !requests[line.Fields["Request"]] {
			continue
		}
		names := []string{line.Fields["Target"]}
		for step := range strings.SplitSeq(line.Fields["Steps"], "; ") {
			name, _, _ := strings.Cut(step, " ")
			names = append(names, name)
		}
		for _, name := range names {
			node, _, _ := strings.Cut(name, "/")
			subjects[name], subjects[node] = true, true
		}
	}
	return subjects
}

// newSnapshot returns the state of the node that logged a line, as given by the lines before it: the last ones about the tables,
// the platform and each of the subjects.
func newSnapshot(before []Line, first Line, subjects map[string]bool) Snapshot {
	s := Snapshot{Node: first.Node, At: first.At}
	last := map[string]Line{}
	for _, line := range before {
		if key := line.stateKey(subjects); line.Node == first.Node && key != "" {
			last[key] = line
		}
	}
	for _, key := range slices.Sorted(maps.Keys(last)) {
		line := last[key]
		age := first.At.Sub(line.At).Round(time.Millisecond)
		s.LogLines = append(s.LogLines, fmt.Sprintf("%s%s, %s ago", line.Text, line.formatFields(), age))
	}
	return s
}

// stateTexts maps the texts of the log lines that report a change of state to the name of the field that contains the target or
// the node concerned. The name is empty for the state of the tables and the platform.
var stateTexts = map[string]string{
	"tables: revision in force":                 "",
	"tables: newer revision is not in force":    "",
	"tables: platform lost":                     "",
	"tables: platform found again":              "",
	"health: target suspect, takes only trials": "Target",
	"health: target trusted again":              "Target",
	"admission: target announced itself":        "Target",
	"admission: target withdrew":                "Target",
	"admission: target stopped its heartbeats":  "Target",
	"admission: target takes no connections":    "Target",
	"peer: node not reached":                    "Peer",
	"peer: node reached again":                  "Peer",
	"membership: node is dead":                  "Peer",
	"membership: node is present":               "Peer",
}

// stateKey identifies the state that a line reports by the component and the target or node concerned. It returns an empty string
// if the line reports no state, or that of a target or node that is not among the subjects.
func (l Line) stateKey(subjects map[string]bool) string {
	field, known := stateTexts[l.Text]
	if !known {
		return ""
	}
	component, _, _ := strings.Cut(l.Text, ":")
	name := l.Fields[field]
	if field != "" && !subjects[name] {
		return ""
	}
	if strings.Contains(l.Text, "platform") {
		component = "platform"
	}
	return component + " " + name
}

// formatFields formats the non-empty fields of a line, sorted by name.
func (l Line) formatFields() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := l.Fields[name]; value != "" {
			fmt.Fprintf(&text, " %s=%s", name, quoteValue(value))
		}
	}
	return text.String()
}

func quoteValue(value string) string {
	if strings.ContainsAny(value, " =") {
		return fmt.Sprintf("%q", value)
	}
	return value
}

// timeLayout is the layout of printed times. It omits the date.
const timeLayout = "15:04:05.000"

// Print writes the snapshots of the nodes, followed by the lines about the request.
func (t Trace) Print(w io.Writer) {
	fmt.Fprintf(w, "request %s\n", t.ID)
	for _, s := range t.Snapshots {
		fmt.Fprintf(w, "\n%s at %s had last logged:\n", s.Node, s.At.Format(timeLayout))
		for _, line := range s.LogLines {
			fmt.Fprintf(w, "  %s\n", line)
		}
	}
	fmt.Fprintln(w)
	for _, line := range t.Lines {
		fmt.Fprintf(w, "%s %s %s%s\n", line.At.Format(timeLayout), line.Node, line.Text, line.formatFields())
	}
}
