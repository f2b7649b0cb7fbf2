package scenario

import (
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"jayfold.dev/jayfold/internal/lab/link"
)

// directions are the words of scripts for the directions of a link.
var directions = map[string]link.Direction{"forward": link.Forward, "backward": link.Backward}

func startLink(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 3 {
		ts.Fatalf("usage: link NAME LISTEN TARGET")
	}
	l, err := link.New(args[1], args[2])
	ts.Check(err)
	held(ts).links[args[0]] = l
}

func linked(ts *testscript.TestScript, name string) *link.Link {
	l, ok := held(ts).links[name]
	if !ok {
		ts.Fatalf("no link %s", name)
	}
	return l
}

func cut(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 || directions[args[1]] == 0 {
		ts.Fatalf("usage: cut NAME forward|backward")
	}
	l := linked(ts, args[0])
	l.Set(link.Condition{Cut: l.Condition().Cut | directions[args[1]]})
}

func heal(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: heal NAME")
	}
	linked(ts, args[0]).Set(link.Condition{})
}

// disconnected waits until the links to a node carry no connection, so that the other nodes' systems know of its end.
func disconnected(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: disconnected NODE")
	}
	number := strings.TrimPrefix(args[0], "n")
	for _, name := range []string{"peers" + number, "forward" + number} {
		l := linked(ts, name)
		for end := time.Now().Add(patience); l.Open() > 0; time.Sleep(pace) {
			if time.Now().After(end) {
				ts.Fatalf("%s carries %d connections after %s", name, l.Open(), patience)
			}
		}
	}
}
