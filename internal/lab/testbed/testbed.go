// Package testbed runs a small deployment in one process on loopback: a stand-in platform, nodes and stand-in targets.
//
// # Usage
//
//	bed, err := testbed.New(testbed.Settings{Nodes: 3, Pools: pools, Tables: tables, Log: discard.New()})
//	if err != nil { ... }
//	defer bed.Stop()
//	http.Get(bed.Nodes[0].CallersURL() + "/catalogue")
package testbed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"jayfold.dev/jayfold/internal/core/fleet"
	corenode "jayfold.dev/jayfold/internal/core/node"
	"jayfold.dev/jayfold/internal/edge/platform"
	labplatform "jayfold.dev/jayfold/internal/lab/platform"
	"jayfold.dev/jayfold/internal/lab/target"
	"jayfold.dev/jayfold/internal/process/node"
	"jayfold.dev/jayfold/internal/process/settings"
)

// readyTimeout bounds the wait until every node has tables in force and knows every target, and the shutdown of the nodes.
const readyTimeout = 30 * time.Second

// Settings configures a testbed.
type Settings struct {
	// Nodes is the number of nodes. They are assigned to the availability zones round-robin.
	Nodes             int
	AvailabilityZones []fleet.AvailabilityZone
	// Pools are the pools of targets. Their targets are assigned to the nodes round-robin.
	Pools  []Pool
	Tables fleet.Tables
	// Limits are the rate limits of the platform; zero means no limit.
	Limits labplatform.Limits
	Log    log.Handler
}

// Pool describes the stand-in targets of one pool.
type Pool struct {
	Name        fleet.PoolName
	Targets     int
	Slots       int
	Connections int
	ServiceTime time.Duration
}

// Node is a running node.
type Node struct {
	Settings settings.Settings
	app      *fx.App
}

// CallersURL returns the URL of the listener for callers.
func (n *Node) CallersURL() string { return "http://" + n.Settings.Listen.Callers.String() }

// OperatorsAddress returns the address of the listener for operators.
func (n *Node) OperatorsAddress() string { return n.Settings.Listen.Operators.String() }

// Target is a running stand-in target.
type Target struct {
	ID      fleet.TargetID
	Pool    fleet.PoolName
	Standin *target.Target
}

// Testbed is a running deployment.
type Testbed struct {
	Platform    *labplatform.Server
	PlatformURL string
	Nodes       []*Node
	Targets     []*Target

	cancel  context.CancelFunc
	running sync.WaitGroup
}

// New starts a testbed and returns once every node has tables in force and knows every target.
func New(s Settings) (*Testbed, error) {
	ctx, cancel := context.WithCancel(context.Background())
	bed := &Testbed{cancel: cancel}
	err := bed.start(ctx, s)
	if err == nil {
		err = bed.waitReady(ctx, s)
	}
	if err != nil {
		bed.Stop()
		return nil, err
	}
	return bed, nil
}

func (b *Testbed) start(ctx context.Context, s Settings) error {
	if err := b.startPlatform(ctx, s.Limits); err != nil {
		return err
	}
	if err := b.Apply(ctx, s.Tables, 0); err != nil {
		return err
	}
	for i := range s.Nodes {
		if err := b.startNode(ctx, i, s); err != nil {
			return err
		}
	}
	next := 0
	for _, pool := range s.Pools {
		for i := range pool.Targets {
			if err := b.startTarget(ctx, b.Nodes[next%len(b.Nodes)], pool, i+1); err != nil {
				return err
			}
			next++
		}
	}
	return nil
}

func (b *Testbed) startPlatform(ctx context.Context, limits labplatform.Limits) error {
	listener, err := listen()
	if err != nil {
		return err
	}
	b.Platform = labplatform.New(limits, time.Now)
	b.PlatformURL = "http://" + listener.Addr().String()
	b.running.Go(func() { _ = b.Platform.Serve(ctx, listener) })
	return nil
}

// Apply publishes tables as the revision after expected.
func (b *Testbed) Apply(ctx context.Context, tables fleet.Tables, expected fleet.Revision) error {
	client := platform.New(platform.Seams{Store: platform.NewStore(b.PlatformURL, &http.Client{})})
	defer client.Close()
	_, err := client.ApplyTables(ctx, tables, expected, fmt.Sprintf("testbed-%d", expected+1))
	return err
}

func (b *Testbed) startNode(ctx context.Context, index int, s Settings) error {
	addresses, err := freeAddresses()
	if err != nil {
		return err
	}
	zone := fleet.AvailabilityZone("zone-1")
	if len(s.AvailabilityZones) > 0 {
		zone = s.AvailabilityZones[index%len(s.AvailabilityZones)]
	}
	n := &Node{Settings: settings.Settings{
		Node:             fleet.NodeID(fmt.Sprintf("node-%d", index+1)),
		AvailabilityZone: zone,
		Host:             netip.MustParseAddr("127.0.0.1"),
		Platform:         b.PlatformURL,
		LogLevel:         "info",
		Retries:          corenode.DefaultSettings().RetryBudget,
		Heartbeat:        corenode.DefaultSettings().HeartbeatInterval,
		StopGrace:        corenode.DefaultSettings().StopGrace,
		Listen: settings.Listen{
			Callers:   addresses[0],
			Targets:   addresses[1],
			Peers:     addresses[2],
			Forward:   addresses[3],
			Operators: addresses[4],
		},
		Limits: settings.Limits{
			MaxBodyBytes:     1 << 20,
			MaxHeaderBytes:   64 << 10,
			MaxBufferedBytes: 32 << 20,
			HeaderTimeout:    5 * time.Second,
			BodyTimeout:      30 * time.Second,
		},
	}}
	n.app = node.New(n.Settings, node.NewSeams(n.Settings, s.Log))
	if err := n.app.Start(ctx); err != nil {
		return err
	}
	b.Nodes = append(b.Nodes, n)
	return nil
}

func (b *Testbed) startTarget(ctx context.Context, n *Node, pool Pool, number int) error {
	listener, err := listen()
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%d", pool.Name, number)
	standin := target.New(target.Settings{
		Name:        name,
		Pool:        string(pool.Name),
		Node:        n.Settings.Listen.Targets.String(),
		Slots:       pool.Slots,
		Connections: pool.Connections,
		ServiceTime: pool.ServiceTime,
	}, listener, target.NewInProcessSeams())
	b.running.Go(func() { _ = standin.Run(ctx) })
	b.Targets = append(b.Targets, &Target{
		ID:      fleet.NewTargetID(n.Settings.Node, name),
		Pool:    pool.Name,
		Standin: standin,
	})
	return nil
}

// Stop stops the nodes and then the targets and the platform.
func (b *Testbed) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	var stopping sync.WaitGroup
	for _, n := range b.Nodes {
		stopping.Go(func() { _ = n.app.Stop(ctx) })
	}
	stopping.Wait()
	b.cancel()
	b.running.Wait()
}

// errNotReady is returned if a node has no tables in force or does not know all targets within readyTimeout.
var errNotReady = errors.New("testbed: not every node had tables in force and knew all targets in time")

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// freeAddresses returns five loopback addresses that are not in use.
func freeAddresses() ([5]netip.AddrPort, error) {
	var addresses [5]netip.AddrPort
	for i := range addresses {
		listener, err := listen()
		if err != nil {
			return addresses, err
		}
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().(*net.TCPAddr).AddrPort()
	}
	return addresses, nil
}
