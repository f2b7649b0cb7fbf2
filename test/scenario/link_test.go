package scenario

import (
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
