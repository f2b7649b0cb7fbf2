package logfile

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Story is what the logs tell of one request.
type Story struct {
	ID string
	// Beliefs are what each node of the request held true when it first told of it.
	Beliefs []Belief
	// Lines are those of the request and of the calls that targets made for it, in the order of their times.
	Lines []Line
}

// Belief is what one node held true at a time.
type Belief struct {
	Node string
	At   time.Time
	// Facts are sentences, each with the age of what it rests on.
	Facts []string
}

// Tell finds the lines of a request, and what the nodes that wrote them believed by then.
func Tell(lines []Line, id string) Story {
	story := Story{ID: id}
	lines = ordered(lines)
	subjects := subjectsOf(lines, id)
	told := map[string]bool{}
	for i, line := range lines {
		if !line.concerns(id) {
			continue
		}
		story.Lines = append(story.Lines, line)
		if !told[line.Node] {
			told[line.Node] = true
			story.Beliefs = append(story.Beliefs, believed(lines[:i], line, subjects))
		}
	}
	return story
}

// concerns reports whether a line is about a request or a call that a target made for it, which has the request's id before
// its own.
func (l Line) concerns(id string) bool {
	request := l.Fields["Request"]
	return request == id || strings.HasPrefix(request, id+".")
}

// subjectsOf returns the targets that the lines of a request name, and their nodes.
func subjectsOf(lines []Line, id string) map[string]bool {
	subjects := map[string]bool{}
	for _, line := range lines {
		if !line.concerns(id) {
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

// believed collects what the node of a line had told before it: the last word on the tables and on the platform, on the
// targets that the request met, and on the nodes that it could not reach.
func believed(before []Line, at Line, subjects map[string]bool) Belief {
	b := Belief{Node: at.Node, At: at.At}
	last := map[string]Line{}
	for _, line := range before {
		if about := line.subject(subjects); line.Node == at.Node && about != "" {
			last[about] = line
		}
	}
	for _, about := range slices.Sorted(maps.Keys(last)) {
		line := last[about]
		b.Facts = append(b.Facts, fmt.Sprintf("%s%s, %s ago", line.Text, line.details(), at.At.Sub(line.At).Round(time.Millisecond)))
	}
	return b
}

// beliefs are the texts of lines that say what a node holds true, with the field that names what it is about.
var beliefs = map[string]string{
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

// subject returns what a line is the last word on, and nothing for a line that is no belief or about another target or node.
func (l Line) subject(subjects map[string]bool) string {
	field, known := beliefs[l.Text]
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

// Print writes the story, the beliefs first.
func (s Story) Print(w io.Writer) {
	fmt.Fprintf(w, "request %s\n", s.ID)
	for _, b := range s.Beliefs {
		fmt.Fprintf(w, "\n%s at %s believed:\n", b.Node, b.At.Format(clock))
		for _, fact := range b.Facts {
			fmt.Fprintf(w, "  %s\n", fact)
		}
	}
	fmt.Fprintln(w)
	for _, line := range s.Lines {
		fmt.Fprintf(w, "%s %s %s%s\n", line.At.Format(clock), line.Node, line.Text, line.details())
	}
}
