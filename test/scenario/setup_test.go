package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"jayfold.dev/jayfold/internal/lab/link"
)

const (
	nodes   = 3
	targets = 6
)

// addressVariables are the names of the environment variables that hold the addresses of a node, without the node's number. Other
// nodes use the ADVERTISED addresses, which links forward to PEERS and FORWARD.
var addressVariables = []string{
	"CALLERS", "TARGETS", "PEERS", "FORWARD", "OPERATORS", "ADVERTISED_PEERS", "ADVERTISED_FORWARD",
}

// settings is the template of a node's settings file. All nodes are in one availability zone, so that each ingress uses all
// targets.
const settings = `{
	"Node": "n%[1]d", "AvailabilityZone": "az", "Host": "127.0.0.1", "Platform": "http://$PLATFORM",
	"Advertise": {"Peers": "$ADVERTISED_PEERS%[1]d", "Forward": "$ADVERTISED_FORWARD%[1]d"},
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

// setUp sets the environment variables of a scenario and writes the settings and tables files.
func setUp(env *testscript.Env) error {
	names := []string{"PLATFORM"}
	for n := 1; n <= nodes; n++ {
		for _, variable := range addressVariables {
			names = append(names, fmt.Sprintf("%s%d", variable, n))
		}
	}
	for n := 1; n <= targets; n++ {
		names = append(names, fmt.Sprintf("TARGET%d", n))
	}
	setAddresses(env, names)
	var ledgers []string
	for n := 1; n <= targets; n++ {
		ledgers = append(ledgers, filepath.Join(env.WorkDir, fmt.Sprintf("t%d.ledger", n)))
	}
	env.Setenv("LEDGERS", strings.Join(ledgers, ","))
	env.Setenv("PATH", os.Getenv("PATH"))
	env.Values[processesKey{}] = newProcesses(env)
	return writeFiles(env)
}

// setAddresses sets each of the named environment variables to a free address.
func setAddresses(env *testscript.Env, names []string) {
	for _, name := range names {
		env.Setenv(name, link.FreeAddress())
	}
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

// defaultServiceTime is the service time of the targets unless a scenario sets another.
const defaultServiceTime = "5ms"

// fleet starts the whole fleet. It returns once each node has served a lookup and knows all targets.
func fleet(ts *testscript.TestScript, _ bool, args []string) {
	serviceTime := defaultServiceTime
	if len(args) > 0 {
		serviceTime = args[0]
	}
	start(ts, false, []string{"platform", "jayfold-lab", "platform", "--listen", ts.Getenv("PLATFORM")})
	waitFor(ts, false, []string{"http://" + ts.Getenv("PLATFORM") + "/v1/objects?prefix=x"})
	ts.Check(ts.Exec("jayfold", "tables", "apply", "--platform", "http://"+ts.Getenv("PLATFORM"),
		"--routes", "routes.json", "--pools", "pools.json"))
	for n := 1; n <= nodes; n++ {
		linkNode(ts, n)
		start(ts, false, []string{fmt.Sprintf("n%d", n), "jayfold", "node", "--settings", fmt.Sprintf("n%d.json", n)})
	}
	for n := 1; n <= targets; n++ {
		startTarget(ts, n, serviceTime)
	}
	for n := 1; n <= nodes; n++ {
		operators := ts.Getenv(fmt.Sprintf("OPERATORS%d", n))
		waitFor(ts, false, []string{"http://" + ts.Getenv(fmt.Sprintf("CALLERS%d", n)) + "/catalogue/1"})
		requestUntil("GET")(ts, false, []string{"http://" + operators + "/status", "200", `"Known": ?6`})
	}
}

// linkNode starts the links peersN and forwardN, through which the other nodes reach node n.
func linkNode(ts *testscript.TestScript, n int) {
	for name, variable := range map[string]string{"peers": "PEERS", "forward": "FORWARD"} {
		advertised := ts.Getenv(fmt.Sprintf("ADVERTISED_%s%d", variable, n))
		startLink(ts, false, []string{fmt.Sprintf("%s%d", name, n), advertised, ts.Getenv(fmt.Sprintf("%s%d", variable, n))})
	}
}

// startTarget starts target n, which sends its heartbeats to one of the nodes.
func startTarget(ts *testscript.TestScript, n int, serviceTime string) {
	name := fmt.Sprintf("t%d", n)
	start(ts, false, []string{
		name, "jayfold-lab", "target", "--name", name, "--pool", "shop",
		"--listen", ts.Getenv(fmt.Sprintf("TARGET%d", n)),
		"--node", ts.Getenv(fmt.Sprintf("TARGETS%d", (n-1)%nodes+1)),
		"--ledger", name + ".ledger", "--service-time", serviceTime,
	})
}
