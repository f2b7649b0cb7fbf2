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
	// serviceTime is how long the stand-ins of targets take, and answerBytes the size of their answers, as on today's sites.
	serviceTime   = 20 * time.Millisecond
	responseBytes = 5000
	// targetConnections is what a target of today's sites takes.
	targetConnections = 400
	// requestTimeout bounds one request of the load.
	requestTimeout = 5 * time.Second
	// servingTimeout bounds the start of the measured process, servingPoll is the time between two looks.
	servingTimeout      = time.Minute
	servingPollInterval = 200 * time.Millisecond
)

var responseBody = bytes.Repeat([]byte("x"), responseBytes)

// runAttempt answers an attempt in place of a target of another host.
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

// waitUntilServing starts the node's targets and returns once the node knows the fleet.
func (r *simulatedFleet) waitUntilServing(ctx context.Context, n *measuredNode) error {
	if err := r.startTargets(ctx, n); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, servingTimeout)
	defer cancel()
	client := &http.Client{Timeout: requestTimeout}
	for served := 0; served < r.size.pools; {
		if ctx.Err() != nil {
			return fmt.Errorf("the node serves %d of %d pools: %w", served, r.size.pools, ctx.Err())
		}
		if r.sendRequest(ctx, client, n, served) {
			served++
			continue
		}
		sleep(ctx, servingPollInterval)
	}
	return nil
}

// sendRequest sends one request on a route to the node and reports whether it was answered.
func (r *simulatedFleet) sendRequest(ctx context.Context, client *http.Client, n *measuredNode, route int) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.callers+r.size.pathPrefix(route)+"/7", nil)
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

// startTargets starts the targets of the measured node's host and their heartbeats.
func (r *simulatedFleet) startTargets(ctx context.Context, n *measuredNode) error {
	listener, err := listenAt("127.0.0.1")
	if err != nil {
		return err
	}
	server := &http.Server{ReadHeaderTimeout: requestTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		sleep(q.Context(), serviceTime)
		_, _ = w.Write(responseBody)
	})}
	r.running.Go(func() { _ = server.Serve(listener) })
	r.closers = append(r.closers, func() { _ = server.Close() })
	r.running.Go(func() {
		for ctx.Err() == nil {
			for _, t := range r.self.Targets {
				r.putHeartbeat(ctx, n, t, listener.Addr().String())
			}
			sleep(ctx, heartbeatInterval)
		}
	})
	return nil
}

// heartbeat is what a target says of itself.
type heartbeat struct {
	Pool, Address, State, Instance string
	Slots, Connections             int
}

func (r *simulatedFleet) putHeartbeat(ctx context.Context, n *measuredNode, t fleet.Target, address string) {
	body, err := json.Marshal(heartbeat{
		Pool: string(t.Pool), Address: address, State: "Ready", Instance: "1", Slots: t.Slots, Connections: targetConnections,
	})
	if err != nil {
		return
	}
	name := strings.TrimPrefix(string(t.ID), string(r.self.Node)+"/")
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+n.targets+"/v1/targets/"+name, bytes.NewReader(body))
	if err != nil {
		return
	}
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// startLoad sends the node's share of the load in both of its roles until ctx ends.
func (r *simulatedFleet) startLoad(ctx context.Context, n *measuredNode, rate int) {
	callers := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: rate}}
	callEvery(ctx, rate, func(int) {
		if r.sendRequest(ctx, callers, n, rand.IntN(r.size.routes)) {
			r.answered.Add(1)
		}
	})
	forwarders := r.zoneForwarders()
	callEvery(ctx, rate, func(i int) {
		if r.forwardAttempt(ctx, forwarders[rand.IntN(len(forwarders))], n, i) {
			r.forwarded.Add(1)
		}
	})
}

// callEvery calls a function at a rate a second until ctx ends, each call on a goroutine of its own.
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

// zoneForwarders returns a forwarder of each other node in the measured node's availability zone, from which its attempts come.
func (r *simulatedFleet) zoneForwarders() []*peer.Forwarder {
	var forwarders []*peer.Forwarder
	for _, m := range r.others {
		if m.AvailabilityZone != r.self.AvailabilityZone {
			continue
		}
		f := peer.NewForwarder(m.Node, peer.ForwarderSeams{Now: time.Now, Post: func(event.Body) {}})
		r.closers = append(r.closers, f.Close)
		forwarders = append(forwarders, f)
	}
	return forwarders
}

// forwardAttempt sends one attempt to a target of the measured node, and reports whether it was answered.
func (r *simulatedFleet) forwardAttempt(ctx context.Context, f *peer.Forwarder, n *measuredNode, i int) bool {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	target := r.self.Targets[i%len(r.self.Targets)]
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://shop.example/shop/1/items/7", nil)
	if err != nil {
		return false
	}
	attempt := fleet.Attempt{
		ID:     fleet.NewAttemptID(fleet.RequestID(fmt.Sprintf("%016x%010d", rand.Uint64(), i)), 1),
		Target: target.ID, Pool: target.Pool, Node: r.self.Node, Address: n.forward, Class: fleet.Lookup, Idempotent: true,
		Deadline: time.Now().Add(time.Second), Goal: time.Now().Add(time.Second), Fingerprint: fleet.Fingerprint(i),
	}
	response, _, err := f.Forward(ctx, effect.ForwardAttempt{Attempt: attempt}, request, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.Body.Close() == nil && err == nil && response.StatusCode == http.StatusOK
}

// changeTablesRepeatedly writes a new revision again and again until ctx ends.
func (r *simulatedFleet) changeTablesRepeatedly(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.applyTables(ctx); err != nil {
			return
		}
		sleep(ctx, tablesChangeInterval)
	}
}
