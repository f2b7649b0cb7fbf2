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
	// readyTimeout bounds each wait during the start of a fleet. It leaves room for a busy machine.
	readyTimeout      = 30 * time.Second
	readyPollInterval = 100 * time.Millisecond
)

// site is a running fleet with its platform.
type site struct {
	settings        Settings
	platform        *process
	platformAddress string
	nodes           []*node
	client          *http.Client
	// tablesMutex serializes the changes of the tables. tablesVersion is the number of the last change.
	tablesMutex   sync.Mutex
	tablesVersion int
	// planStart is the time to which the plan is relative.
	planStart         time.Time
	acceptedRevisions chan acceptedRevision
}

// node is a node with its links and targets.
type node struct {
	number    int
	addresses map[string]string
	process   *process
	// peers and forward are the links from other nodes to this one, platform is the link from this node to the platform.
	peers, forward, platform *link.Link
	targets                  []*target
}

// target is a target on the host of a node.
type target struct {
	address string
	ledger  string
	process *process
}

// addressNames are the names of the addresses of a node. Those with the prefix via belong to its links.
var addressNames = []string{"Callers", "Targets", "Peers", "Forward", "Operators", "viaPeers", "viaForward", "viaPlatform"}

func newSite(s Settings) *site {
	platformAddress := link.FreeAddress()
	built := &site{
		settings: s, platformAddress: platformAddress, client: &http.Client{Timeout: time.Second},
		acceptedRevisions: make(chan acceptedRevision, maxQueuedRevisions),
	}
	built.platform = newProcess("platform", built.file("platform.log"), s.Lab, "platform", "--listen", platformAddress)
	for number := 1; number <= s.Nodes; number++ {
		built.nodes = append(built.nodes, built.newNode(number))
	}
	return built
}

func (s *site) file(name string) string { return filepath.Join(s.settings.Dir, name) }

func (s *site) newNode(number int) *node {
	n := &node{number: number, addresses: map[string]string{}}
	for _, name := range addressNames {
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

// settingsJSON returns the content of the settings file of a node.
func (n *node) settingsJSON() string {
	a := n.addresses
	return fmt.Sprintf(`{"Node": "n%d", "AvailabilityZone": "z%d", "Host": "127.0.0.1", "Platform": "http://%s", "StopGrace": "6s",
	"Advertise": {"Peers": "%s", "Forward": "%s"},
	"Listen": {"Callers": "%s", "Targets": "%s", "Peers": "%s", "Forward": "%s", "Operators": "%s"}}`,
		n.number, n.number%2, a["viaPlatform"], a["viaPeers"], a["viaForward"],
		a["Callers"], a["Targets"], a["Peers"], a["Forward"], a["Operators"])
}

func (n *node) openLinks(platformAddress string) error {
	var err error
	for _, l := range []struct {
		link        **link.Link
		via         string
		destination string
	}{
		{&n.peers, "viaPeers", n.addresses["Peers"]},
		{&n.forward, "viaForward", n.addresses["Forward"]},
		{&n.platform, "viaPlatform", platformAddress},
	} {
		opened, openErr := link.New(n.addresses[l.via], l.destination)
		*l.link, err = opened, errors.Join(err, openErr)
	}
	return err
}

// start starts the fleet and returns once every node serves requests.
func (s *site) start(ctx context.Context) error {
	if err := s.platform.start(); err != nil {
		return err
	}
	if err := s.waitUntil(ctx, func() bool { return s.applyTables(ctx) == nil }); err != nil {
		return fmt.Errorf("platform did not accept the first tables: %w", err)
	}
	for _, n := range s.nodes {
		if err := os.WriteFile(s.file(fmt.Sprintf("n%d.json", n.number)), []byte(n.settingsJSON()), 0o600); err != nil {
			return err
		}
		if err := errors.Join(n.openLinks(s.platformAddress), n.process.start()); err != nil {
			return err
		}
		for _, t := range n.targets {
			if err := t.process.start(); err != nil {
				return err
			}
		}
	}
	for _, n := range s.nodes {
		if err := s.waitUntil(ctx, func() bool { return s.servesLookups(ctx, n) }); err != nil {
			return fmt.Errorf("node %d does not serve requests: %w", n.number, err)
		}
	}
	s.planStart = time.Now().Add(warmUp)
	return nil
}

// waitUntil polls until the condition holds or readyTimeout expires.
func (s *site) waitUntil(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !condition() {
		sleep(ctx, readyPollInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// servesLookups reports whether a lookup through the node succeeds.
func (s *site) servesLookups(ctx context.Context, n *node) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.addresses["Callers"]+"/catalogue/1", nil)
	if err != nil {
		return false
	}
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// stop kills all processes and closes all links.
func (s *site) stop() {
	var stopping sync.WaitGroup
	for _, p := range s.processes() {
		stopping.Go(func() { p.stop(syscall.SIGKILL) })
	}
	stopping.Wait()
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

// unexpectedExits describes the exits of all processes that the soak did not request.
func (s *site) unexpectedExits() []string {
	var exits []string
	for _, p := range s.processes() {
		exits = append(exits, p.unexpectedExits()...)
	}
	return exits
}
