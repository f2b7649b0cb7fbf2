package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	heartbeatInterval = time.Second
	// heartbeatTimeout bounds one heartbeat or withdrawal.
	heartbeatTimeout = time.Second
	// maxDrainingHeartbeats bounds the attempts to report a drain to the node before the drain continues regardless.
	maxDrainingHeartbeats = 3
)

// wireHeartbeat is the body of a heartbeat, PUT /v1/targets/NAME.
type wireHeartbeat struct {
	Pool        string
	Address     string
	Slots       int
	Connections int
	State       string
	Instance    string
	InFlight    int
}

// sendHeartbeats sends heartbeats until ctx ends. It returns an error if the stand-in has crashed.
func (t *Target) sendHeartbeats(ctx context.Context, state string) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		_ = t.sendHeartbeat(state)
		select {
		case <-ctx.Done():
			return nil
		case <-t.lifetime.Done():
			return context.Cause(t.lifetime)
		case <-ticker.C:
		}
	}
}

// reportDraining reports to the node that the target is draining. It gives up after maxDrainingHeartbeats attempts, since a node
// that is down does not need to know.
func (t *Target) reportDraining() {
	for range maxDrainingHeartbeats {
		if t.sendHeartbeat("Draining") == nil {
			return
		}
	}
}

func (t *Target) sendHeartbeat(state string) error {
	body, err := json.Marshal(wireHeartbeat{
		Pool:        t.settings.Pool,
		Address:     t.Address(),
		Slots:       t.settings.Slots,
		Connections: t.settings.Connections,
		State:       state,
		Instance:    t.instance,
		InFlight:    t.snapshot().loadStatus.InFlight,
	})
	if err != nil {
		return err
	}
	return t.callNode(http.MethodPut, body)
}

func (t *Target) withdraw() { _ = t.callNode(http.MethodDelete, nil) }

// callNode sends a heartbeat or withdrawal to the node.
func (t *Target) callNode(method string, body []byte) error {
	ctx, cancel := context.WithTimeout(t.lifetime, heartbeatTimeout)
	defer cancel()
	url := "http://" + t.settings.Node + "/v1/targets/" + t.settings.Name
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("node responded to a heartbeat or withdrawal with status %d", response.StatusCode)
	}
	return nil
}
