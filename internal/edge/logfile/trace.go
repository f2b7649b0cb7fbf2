package logfile

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Trace is what the logs say of one request.
type Trace struct {
	ID string
	// Snapshots are what each node of the request knew when it first logged a line about it.
	Snapshots []Snapshot
	// Lines are those of the request and of the calls that targets made for it, in the order of their times.
	Lines []Line
}

// Snapshot is what one node knew at a time, by its last lines on the tables, the platform, targets and other nodes.
type Snapshot struct {
	Node string
	At   time.Time
	// Facts are sentences, each with the age of what it rests on.
	Facts []string
}

// NewTrace finds the lines of a request, and what the nodes that wrote them knew by then.
func NewTrace(lines []Line, id string) Trace {
	trace := Trace{ID: id}
	lines = ordered(lines)
	requests := family(lines, id)
	subjects := subjectsOf(lines, requests)
	seen := map[string]bool{}
	for i, line := range lines {
		if !requests[line.Fields["Request"]] {
			continue
		}
		trace.Lines = append(trace.Lines, line)
		if !seen[line.Node] {
			seen[line.Node] = true
			trace.Snapshots = append(trace.Snapshots, snapshot(lines[:i], line, subjects))
		}
	}
	return trace
}

// family returns the ids of a request and of the calls that targets made for it.
func family(lines []Line, id string) map[string]bool {
	requests := map[string]bool{id: true}
	for _, line := range lines {
		if line.Fields["Parent"] == id {
			requests[line.Fields["Request"]] = true
		}
	}
	return requests
}

// subjectsOf returns the targets that the lines of some requests name, and their nodes.
func subjectsOf(lines []Line, requests map[string]bool) map[string]bool {
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

// snapshot collects what the node of a line had logged before it: the last lines on the tables and on the platform, on the
// targets that the request met, and on their nodes.
func snapshot(before []Line, at Line, subjects map[string]bool) Snapshot {
	s := Snapshot{Node: at.Node, At: at.At}
	last := map[string]Line{}
	for _, line := range before {
		if about := line.subject(subjects); line.Node == at.Node && about != "" {
			last[about] = line
		}
	}
	for _, about := range slices.Sorted(maps.Keys(last)) {
		line := last[about]
		s.Facts = append(s.Facts, fmt.Sprintf("%s%s, %s ago", line.Text, line.details(), at.At.Sub(line.At).Round(time.Millisecond)))
	}
	return s
}

// stateLines are the texts of lines that say what a node knows, with the field that names what it is about.
var stateLines = map[string]string{
	"tables: revision in force":                 "",
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

// subject returns what a line is about. It is empty for a line that says nothing of the node's knowledge, or that is about
// another target or node.
func (l Line) subject(subjects map[string]bool) string {
	field, known := stateLines[l.Text]
	if !known {
		return ""
	}
	part, _, _ := strings.Cut(l.Text, ":")
	about := l.Fields[field]
	if field != "" && !subjects[about] {
		return ""
	}
	if strings.Contains(l.Text, "platform") {
		part = "platform"
	}
	return part + " " + about
}

// details returns the fields of a line, sorted by name.
func (l Line) details() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := l.Fields[name]; value != "" {
			fmt.Fprintf(&text, " %s=%s", name, quoted(value))
		}
	}
	return text.String()
}

func quoted(value string) string {
	if strings.ContainsAny(value, " =") {
		return fmt.Sprintf("%q", value)
	}
	return value
}

// clock is how times are printed. The date is that of the logs.
const clock = "15:04:05.000"

// Print writes the trace: first what each node knew, then the lines.
func (t Trace) Print(w io.Writer) {
	fmt.Fprintf(w, "request %s\n", t.ID)
	for _, known := range t.Snapshots {
		fmt.Fprintf(w, "\n%s at %s had last logged:\n", known.Node, known.At.Format(clock))
		for _, fact := range known.Facts {
			fmt.Fprintf(w, "  %s\n", fact)
		}
	}
	fmt.Fprintln(w)
	for _, line := range t.Lines {
		fmt.Fprintf(w, "%s %s %s%s\n", line.At.Format(clock), line.Node, line.Text, line.details())
	}
}
