//go:build scenario

package scenario

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	nodes   = 3
	targets = 6
)

// settings is the settings file of a node. A link may stand between a node's advertised addresses and its listeners.
const settings = `{
	"Node": "n%[1]d", "AvailabilityZone": "az%[1]d", "Host": "127.0.0.1", "Platform": "http://$PLATFORM",
	"Listen": {
		"Callers": "$CALLERS%[1]d", "Targets": "$TARGETS%[1]d", "Peers": "$PEERS%[1]d",
		"Forward": "$FORWARD%[1]d", "Operators": "$OPERATORS%[1]d"
	}
}`

const routes = `{"Routes": [
	{"Name": "read", "PathPrefix": "/catalogue", "Pool": "shop", "Class": "Lookup", "Deadline": "5s"},
	{"Name": "order", "PathPrefix": "/orders", "Methods": ["POST"], "Pool": "shop", "Class": "Order", "Deadline": "10s"}
]}`

const pools = `{"Pools": [{"Name": "shop", "Service": "shop", "Floor": 4, "FalseEjectionInterval": "24h"}]}`

// setUp hands out free ports and writes the files of a fleet.
func setUp(env *testscript.Env) error {
	names := []string{"PLATFORM", "LINK"}
	for n := 1; n <= nodes; n++ {
		for _, listener := range []string{"CALLERS", "TARGETS", "PEERS", "FORWARD", "OPERATORS"} {
			names = append(names, fmt.Sprintf("%s%d", listener, n))
		}
	}
	for n := 1; n <= targets; n++ {
		names = append(names, fmt.Sprintf("TARGET%d", n))
	}
	if err := setPorts(env, names); err != nil {
		return err
	}
	var ledgers []string
	for n := 1; n <= targets; n++ {
		ledgers = append(ledgers, filepath.Join(env.WorkDir, fmt.Sprintf("t%d.ledger", n)))
	}
	env.Setenv("LEDGERS", strings.Join(ledgers, ","))
	env.Setenv("PATH", os.Getenv("PATH"))
	env.Values[processesKey{}] = newProcesses(env)
	return writeFiles(env)
}

// setPorts sets each name to a free address. All are held until the last is taken, so that they differ.
func setPorts(env *testscript.Env, names []string) error {
	for _, name := range names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		env.Setenv(name, listener.Addr().String())
	}
	return nil
}

func writeFiles(env *testscript.Env) error {
	files := map[string]string{"routes.json": routes, "pools.json": pools}
	for n := 1; n <= nodes; n++ {
		files[fmt.Sprintf("n%d.json", n)] = os.Expand(fmt.Sprintf(settings, n), env.Getenv)
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(env.WorkDir, name), []byte(content), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// fleet starts the whole fleet. Each node must answer a lookup before the scenario goes on.
func fleet(ts *testscript.TestScript, _ bool, _ []string) {
	start(ts, false, []string{"platform", "jayfold-lab", "platform", "--listen", ts.Getenv("PLATFORM")})
	waitFor(ts, false, []string{"http://" + ts.Getenv("PLATFORM") + "/v1/objects?prefix=x"})
	ts.Check(ts.Exec("jayfold", "tables", "apply", "--platform", "http://"+ts.Getenv("PLATFORM"),
		"--routes", "routes.json", "--pools", "pools.json"))
	for n := 1; n <= nodes; n++ {
		start(ts, false, []string{fmt.Sprintf("n%d", n), "jayfold", "node", "--settings", fmt.Sprintf("n%d.json", n)})
	}
	for n := 1; n <= targets; n++ {
		startTarget(ts, n)
	}
	for n := 1; n <= nodes; n++ {
		operators := ts.Getenv(fmt.Sprintf("OPERATORS%d", n))
		waitFor(ts, false, []string{"http://" + ts.Getenv(fmt.Sprintf("CALLERS%d", n)) + "/catalogue/1"})
		request("GET")(ts, false, []string{"http://" + operators + "/status", "200", `"Known": ?6`})
	}
}

// startTarget starts the nth target beside the node that it belongs to.
func startTarget(ts *testscript.TestScript, n int) {
	name := fmt.Sprintf("t%d", n)
	start(ts, false, []string{
		name, "jayfold-lab", "target", "--name", name, "--pool", "shop",
		"--listen", ts.Getenv(fmt.Sprintf("TARGET%d", n)),
		"--node", ts.Getenv(fmt.Sprintf("TARGETS%d", (n-1)%nodes+1)),
		"--ledger", name + ".ledger",
	})
}
