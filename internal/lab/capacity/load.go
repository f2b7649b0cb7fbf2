package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/peer"
)

const (
	// serviceTime is the duration of a request on a target, responseBytes the size of its response, as on the existing
	// sites.
	serviceTime   = 20 * time.Millisecond
	responseBytes = 5000
	// targetConnections is the number of connections that a target accepts, as on the existing sites.
	targetConnections = 400
	// requestTimeout is the timeout of one request of the load.
	requestTimeout = 5 * time.Second
	// servingTimeout is the timeout for the start of the measured process, servingPollInterval the time between two checks.
	servingTimeout      = time.Minute
	servingPollInterval = 200 * time.Millisecond
)

var responseBody = bytes.Repeat([]byte("x"), responseBytes)

// runAttempt runs an attempt in place of a target on another host.
func runAttempt(ctx context.Context, _ effect.StartRun, r *http.Request) (*http.Response, error) {
	sleep(ctx, serviceTime)
	return &http.Response{
		StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
		ContentLength: responseBytes, Body: io.NopCloser(bytes.NewReader(responseBody)), Request: r,
	}, nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// waitUntilServing starts the targets of the node and waits until the node serves every pool.
func (s *simulatedFleet) waitUntilServing(ctx context.Context, n *measuredNode) error {
	if err := s.startTargets(ctx, n); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, servingTimeout)
	defer cancel()
	client := &http.Client{Timeout: requestTimeout}
	for served := 0; served < s.size.pools; {
		if ctx.Err() != nil {
			return fmt.Errorf("the node serves %d of %d pools: %w", served, s.size.pools, ctx.Err())
		}
		if s.sendRequest(ctx, client, n, served) {
			served++
			continue
		}
		sleep(ctx, servingPollInterval)
	}
	return nil
}

// sendRequest sends one request for the given route to the node and reports whether it succeeded.
func (s *simulatedFleet) sendRequest(ctx context.Context, client *http.Client, n *measuredNode, route int) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.callersAddress+s.size.pathPrefix(route)+"/7", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.Body.Close() == nil && err == nil && response.StatusCode == http.StatusOK
}

// startTargets starts one HTTP server in place of the targets on the host of the measured node, and sends their heartbeats until
// ctx ends.
func (s *simulatedFleet) startTargets(ctx context.Context, n *measuredNode) error {
	listener, err := listenAt("127.0.0.1")
	if err != nil {
		return err
	}
	server := &http.Server{ReadHeaderTimeout: requestTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sleep(r.Context(), serviceTime)
		_, _ = w.Write(responseBody)
	})}
	s.running.Go(func() { _ = server.Serve(listener) })
	s.closers = append(s.closers, func() { _ = server.Close() })
	s.running.Go(func() {
		for ctx.Err() == nil {
			for _, t := range s.self.Targets {
				s.sendHeartbeat(ctx, n, t, listener.Addr().String())
			}
			sleep(ctx, heartbeatInterval)
		}
	})
	return nil
}

// wireHeartbeat is the body of a heartbeat, PUT /v1/targets/NAME.
type wireHeartbeat struct {
	Pool, Address, State, Instance string
	Slots, Connections             int
}

func (s *simulatedFleet) sendHeartbeat(ctx context.Context, n *measuredNode, t fleet.Target, address string) {
	body, err := json.Marshal(wireHeartbeat{
		Pool: string(t.Pool), Address: address, State: "Ready", Instance: "1", Slots: t.Slots, Connections: targetConnections,
	})
	if err != nil {
		return
	}
	name := strings.TrimPrefix(string(t.ID), string(s.self.Node)+"/")
	request, err := http.NewRequestWithContext(
		ctx, http.MethodPut, "http://"+n.targetsAddress+"/v1/targets/"+name, bytes.NewReader(body))
	if err != nil {
		return
	}
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// startLoad sends requests to the node as ingress, and attempts to the node as sidecar, each at the given rate, until ctx ends.
func (s *simulatedFleet) startLoad(ctx context.Context, n *measuredNode, rate int) {
	callerClient := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: rate}}
	callEvery(ctx, rate, func(int) {
		if s.sendRequest(ctx, callerClient, n, rand.IntN(s.size.routes)) {
			s.servedRequests.Add(1)
		}
	})
	forwarders := s.zoneForwarders()
	callEvery(ctx, rate, func(i int) {
		if s.forwardAttempt(ctx, forwarders[rand.IntN(len(forwarders))], n, i) {
			s.servedAttempts.Add(1)
		}
	})
}

// callEvery calls a function at a rate per second until ctx ends, each call in its own goroutine.
func callEvery(ctx context.Context, rate int, call func(int)) {
	go func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				go call(i)
			}
		}
	}()
}

// zoneForwarders returns a forwarder for each other node in the availability zone of the measured node. Attempts are sent only
// through these.
func (s *simulatedFleet) zoneForwarders() []*peer.Forwarder {
	var forwarders []*peer.Forwarder
	for _, m := range s.others {
		if m.AvailabilityZone != s.self.AvailabilityZone {
			continue
		}
		f := peer.NewForwarder(m.Node, peer.ForwarderSeams{Now: time.Now, Post: func(event.Body) {}})
		s.closers = append(s.closers, f.Close)
		forwarders = append(forwarders, f)
	}
	return forwarders
}

// forwardAttempt sends the ith attempt, to a target of the measured node, and reports whether it succeeded.
func (s *simulatedFleet) forwardAttempt(ctx context.Context, f *peer.Forwarder, n *measuredNode, i int) bool {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	target := s.self.Targets[i%len(s.self.Targets)]
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://shop.example/shop/1/items/7", nil)
	if err != nil {
		return false
	}
	attempt := fleet.Attempt{
		ID:     fleet.NewAttemptID(fleet.RequestID(fmt.Sprintf("%016x%010d", rand.Uint64(), i)), 1),
		Target: target.ID, Pool: target.Pool, Node: s.self.Node, Address: n.forwardAddress, Class: fleet.Lookup, Idempotent: true,
		Deadline: time.Now().Add(time.Second), Goal: time.Now().Add(time.Second), Fingerprint: fleet.Fingerprint(i),
	}
	response, _, err := f.Forward(ctx, effect.ForwardAttempt{Attempt: attempt}, request, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.Body.Close() == nil && err == nil && response.StatusCode == http.StatusOK
}

// changeTablesRepeatedly applies a new revision every tablesChangeInterval until ctx ends.
func (s *simulatedFleet) changeTablesRepeatedly(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.applyTables(ctx); err != nil {
			return
		}
		sleep(ctx, tablesChangeInterval)
	}
}
