package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
)

// statusTimeout is the time within which the control loop must reply to a status query. A loop that takes longer is stuck.
const statusTimeout = 2 * time.Second

var errStatusTimeout = errors.New("operator: the control loop did not reply within the timeout")

// Handler returns the HTTP handler for operators.
func (o *Operator) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/status", o.serveStatus).Methods(http.MethodGet)
	router.HandleFunc("/healthz", o.serveHealth).Methods(http.MethodGet)
	if o.seams.Exporter.Handler != nil {
		router.Handle("/metrics", o.seams.Exporter.Handler).Methods(http.MethodGet)
	}
	return router
}

func (o *Operator) serveStatus(w http.ResponseWriter, r *http.Request) {
	s, err := o.status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// The write fails if the client has closed the connection.
	_ = encoder.Encode(newStatus(s))
}

// serveHealth responds with 200 if the node serves requests, and with 503 and the reason otherwise.
func (o *Operator) serveHealth(w http.ResponseWriter, r *http.Request) {
	s, err := o.status(r.Context())
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case s.Draining:
		http.Error(w, "the node is leaving", http.StatusServiceUnavailable)
	case s.Revision == 0:
		http.Error(w, "the node has no tables yet", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}

// status requests the node's status from the control loop.
func (o *Operator) status(ctx context.Context) (effect.NodeStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	id, reply := o.newQuery()
	defer o.removeQuery(id)
	o.seams.Recovery.Go("request status", func() { o.seams.Post(event.StatusRequested{QueryID: id}) }, nil)
	select {
	case s := <-reply:
		return s, nil
	case <-ctx.Done():
		return effect.NodeStatus{}, errStatusTimeout
	}
}

// newQuery returns a new query id and the channel for its reply. The channel is buffered, so that ReplyStatus does not block if
// the query has timed out.
func (o *Operator) newQuery() (uint64, <-chan effect.NodeStatus) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastQueryID++
	reply := make(chan effect.NodeStatus, 1)
	o.replies[o.lastQueryID] = reply
	return o.lastQueryID, reply
}

func (o *Operator) removeQuery(id uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.replies, id)
}
