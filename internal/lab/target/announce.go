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
	// heartbeat is the time between two announcements.
	heartbeat = time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
	// drainTries is how often a draining target tries to tell its node before it goes on without.
	drainTries = 3
)

// wireAnnouncement is the body of PUT /v1/targets/NAME.
type wireAnnouncement struct {
	Pool        string
	Address     string
	Slots       int
	Connections int
	State       string
	Instance    string
	InFlight    int
}

// announceUntil sends heartbeats until ctx ends. It returns an error when the stand-in crashed.
func (t *Target) announceUntil(ctx context.Context, state string) error {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		_ = t.announce(state)
		select {
		case <-ctx.Done():
			return nil
		case <-t.life.Done():
			return context.Cause(t.life)
		case <-ticker.C:
		}
	}
}

// announceDraining tells the node that the target drains. A node that is down need not know.
func (t *Target) announceDraining() {
	for range drainTries {
		if t.announce("Draining") == nil {
			return
		}
	}
}

func (t *Target) announce(state string) error {
	body, err := json.Marshal(wireAnnouncement{
		Pool:        t.settings.Pool,
		Address:     t.Address(),
		Slots:       t.settings.Slots,
		Connections: t.settings.Connections,
		State:       state,
		Instance:    t.instance,
		InFlight:    t.look().shown.InFlight,
	})
	if err != nil {
		return err
	}
	return t.tell(http.MethodPut, body)
}

func (t *Target) withdraw() { _ = t.tell(http.MethodDelete, nil) }

// tell sends one announcement or withdrawal to the node.
func (t *Target) tell(method string, body []byte) error {
	ctx, cancel := context.WithTimeout(t.life, announceTimeout)
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
		return fmt.Errorf("the node answered an announcement with status %d", response.StatusCode)
	}
	return nil
}
