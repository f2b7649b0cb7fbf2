package testbed

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// readyPollInterval is the interval of the status polls while the testbed starts.
const readyPollInterval = 100 * time.Millisecond

// wireStatus is the part of a node's /status that the lab reads.
type wireStatus struct {
	Revision uint64
	Services []wireService
	Targets  []wireTarget
}

type wireService struct {
	Pool  string
	Known int
}

type wireTarget struct {
	Target  string
	Ejected bool
}

// waitReady waits until every node has tables in force and knows all targets.
func (b *Testbed) waitReady(ctx context.Context, s Settings) error {
	limit := time.After(readyTimeout)
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !b.ready(ctx, s) {
		select {
		case <-ticker.C:
		case <-limit:
			return errNotReady
		}
	}
	return nil
}

func (b *Testbed) ready(ctx context.Context, s Settings) bool {
	want := make(map[string]int, len(s.Pools))
	for _, pool := range s.Pools {
		want[string(pool.Name)] = pool.Targets
	}
	for _, n := range b.Nodes {
		status, err := n.status(ctx)
		if err != nil || status.Revision == 0 {
			return false
		}
		for _, service := range status.Services {
			if service.Known < want[service.Pool] {
				return false
			}
		}
	}
	return true
}

// Revisions returns the revision in force on each node, or 0 for a node that does not respond.
func (b *Testbed) Revisions(ctx context.Context) []fleet.Revision {
	revisions := make([]fleet.Revision, len(b.Nodes))
	for i, n := range b.Nodes {
		if status, err := n.status(ctx); err == nil {
			revisions[i] = fleet.Revision(status.Revision)
		}
	}
	return revisions
}

// Ejected returns the targets that are ejected according to the nodes on their hosts.
func (b *Testbed) Ejected(ctx context.Context) []fleet.TargetID {
	var ejected []fleet.TargetID
	for _, n := range b.Nodes {
		status, err := n.status(ctx)
		if err != nil {
			continue
		}
		for _, t := range status.Targets {
			if t.Ejected {
				ejected = append(ejected, fleet.TargetID(t.Target))
			}
		}
	}
	return ejected
}

func (n *Node) status(ctx context.Context) (wireStatus, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.OperatorsAddress()+"/status", nil)
	if err != nil {
		return wireStatus{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return wireStatus{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var status wireStatus
	err = json.NewDecoder(response.Body).Decode(&status)
	return status, err
}
