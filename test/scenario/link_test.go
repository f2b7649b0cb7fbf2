package scenario

import (
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"jayfold.dev/jayfold/internal/lab/link"
)

// directions maps the names that scripts use to the directions of a link.
var directions = map[string]link.Direction{"forward": link.Forward, "backward": link.Backward}

func startLink(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 3 {
		ts.Fatalf("usage: link NAME LISTEN DESTINATION")
	}
	l, err := link.New(args[1], args[2])
	ts.Check(err)
	processesOf(ts).links[args[0]] = l
}

func namedLink(ts *testscript.TestScript, name string) *link.Link {
	l, ok := processesOf(ts).links[name]
	if !ok {
		ts.Fatalf("no link %s", name)
	}
	return l
}

func cut(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 || directions[args[1]] == 0 {
		ts.Fatalf("usage: cut NAME forward|backward")
	}
	l := namedLink(ts, args[0])
	l.Set(link.Condition{Cut: l.Condition().Cut | directions[args[1]]})
}

func heal(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: heal NAME")
	}
	namedLink(ts, args[0]).Set(link.Condition{})
}

// disconnected waits until the links to a node carry no connection, so that the hosts of the other nodes have noticed that it is
// down.
func disconnected(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: disconnected NODE")
	}
	number := strings.TrimPrefix(args[0], "n")
	for _, name := range []string{"peers" + number, "forward" + number} {
		l := namedLink(ts, name)
		for deadline := time.Now().Add(retryTimeout); l.OpenConnections() > 0; time.Sleep(retryInterval) {
			if time.Now().After(deadline) {
				ts.Fatalf("%s still carries %d connections after %s", name, l.OpenConnections(), retryTimeout)
			}
		}
	}
}
