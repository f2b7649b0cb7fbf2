package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"jayfold.dev/jayfold/internal/lab/link"
)

const (
	targetsPerNode = 2
	// readyTimeout bounds the start of a fleet on a busy machine.
	readyTimeout = 30 * time.Second
	poll         = 100 * time.Millisecond
)

// site is a running fleet.
type site struct {
	settings Settings
	platform *process
	store    string
	nodes    []*node
	http     *http.Client
	// edits serializes the changes of the tables, and edit is the number of the last one.
	edits sync.Mutex
	edit  int
	// begun is when the first fault may come.
	begun   time.Time
	changes chan change
}

// node is one node with its links and targets.
type node struct {
	number    int
	addresses map[string]string
	process   *process
	// peers and forward lead from the other nodes to this one, platform from this one to the platform.
	peers, forward, platform *link.Link
	targets                  []*target
}

// target is one target of a node.
type target struct {
	address string
	ledger  string
	process *process
}

// listeners are the addresses of a node; those that start with via are of the links.
var listeners = []string{"Callers", "Targets", "Peers", "Forward", "Operators", "viaPeers", "viaForward", "viaPlatform"}

func newSite(s Settings) *site {
	store := link.FreeAddress()
	built := &site{settings: s, store: store, http: &http.Client{Timeout: time.Second}, changes: make(chan change, changesKept)}
	built.platform = newProcess("platform", built.file("platform.log"), s.Lab, "platform", "--listen", store)
	for number := 1; number <= s.Nodes; number++ {
		built.nodes = append(built.nodes, built.newNode(number))
	}
	return built
}

func (s *site) file(name string) string { return filepath.Join(s.settings.Dir, name) }

func (s *site) newNode(number int) *node {
	n := &node{number: number, addresses: map[string]string{}}
	for _, name := range listeners {
		n.addresses[name] = link.FreeAddress()
	}
	name := fmt.Sprintf("n%d", number)
	n.process = newProcess(name, s.file(name+".log"), s.settings.Jayfold, "node", "--settings", s.file(name+".json"))
	for i := range targetsPerNode {
		address := link.FreeAddress()
		name := fmt.Sprintf("n%dt%d", number, i+1)
		t := &target{address: address, ledger: s.file(name + ".ledger")}
		t.process = newProcess(name, s.file(name+".log"), s.settings.Lab, "target", "--listen", address, "--name", name,
			"--pool", "shop", "--node", n.addresses["Targets"], "--ledger", t.ledger, "--service-time", "40ms")
		n.targets = append(n.targets, t)
	}
	return n
}

// settingsFile is the settings file of a node.
func (n *node) settingsFile() string {
	a := n.addresses
	return fmt.Sprintf(`{"Node": "n%d", "AvailabilityZone": "z%d", "Host": "127.0.0.1", "Platform": "http://%s", "StopGrace": "6s",
	"Advertise": {"Peers": "%s", "Forward": "%s"},
	"Listen": {"Callers": "%s", "Targets": "%s", "Peers": "%s", "Forward": "%s", "Operators": "%s"}}`,
		n.number, n.number%2, a["viaPlatform"], a["viaPeers"], a["viaForward"],
		a["Callers"], a["Targets"], a["Peers"], a["Forward"], a["Operators"])
}

// openLinks opens the links of a node.
func (n *node) openLinks(store string) error {
	var err error
	for _, l := range []struct {
		to       **link.Link
		via      string
		endpoint string
	}{
		{&n.peers, "viaPeers", n.addresses["Peers"]},
		{&n.forward, "viaForward", n.addresses["Forward"]},
		{&n.platform, "viaPlatform", store},
	} {
		opened, failed := link.New(n.addresses[l.via], l.endpoint)
		*l.to, err = opened, errors.Join(err, failed)
	}
	return err
}

// start starts the fleet and returns once every node serves.
func (s *site) start(ctx context.Context) error {
	if err := s.platform.start(); err != nil {
		return err
	}
	if err := s.until(ctx, func() bool { return s.apply(ctx) == nil }); err != nil {
		return fmt.Errorf("the first tables were not accepted: %w", err)
	}
	for _, n := range s.nodes {
		if err := os.WriteFile(s.file(fmt.Sprintf("n%d.json", n.number)), []byte(n.settingsFile()), 0o600); err != nil {
			return err
		}
		if err := errors.Join(n.openLinks(s.store), n.process.start()); err != nil {
			return err
		}
		for _, t := range n.targets {
			if err := t.process.start(); err != nil {
				return err
			}
		}
	}
	for _, n := range s.nodes {
		if err := s.until(ctx, func() bool { return s.answers(ctx, n) }); err != nil {
			return fmt.Errorf("node %d does not serve: %w", n.number, err)
		}
	}
	s.begun = time.Now().Add(settle)
	return nil
}

// until repeats a question until the answer is yes.
func (s *site) until(ctx context.Context, yes func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !yes() {
		wait(ctx, poll)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// answers reports whether a node serves a lookup.
func (s *site) answers(ctx context.Context, n *node) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.addresses["Callers"]+"/catalogue/1", nil)
	if err != nil {
		return false
	}
	response, err := s.http.Do(request)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// stop ends every process that the soak started.
func (s *site) stop() {
	var ending sync.WaitGroup
	for _, p := range s.processes() {
		ending.Go(func() { p.end(syscall.SIGKILL) })
	}
	ending.Wait()
	for _, n := range s.nodes {
		for _, l := range []*link.Link{n.peers, n.forward, n.platform} {
			if l != nil {
				l.Close()
			}
		}
	}
}

func (s *site) processes() []*process {
	all := []*process{s.platform}
	for _, n := range s.nodes {
		all = append(all, n.process)
		for _, t := range n.targets {
			all = append(all, t.process)
		}
	}
	return all
}

// unexpectedEnds lists the ends of processes that nobody asked for.
func (s *site) unexpectedEnds() []string {
	var ends []string
	for _, p := range s.processes() {
		ends = append(ends, p.unexpectedEnds()...)
	}
	return ends
}
