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

// statusTimeout bounds the wait for the control loop. A loop that does not answer for so long is stuck.
const statusTimeout = 2 * time.Second

var errNoAnswer = errors.New("operator: the control loop did not answer in time")

// Handler returns the handler of the operators' address.
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
	// An error means that the operator went away.
	_ = encoder.Encode(newStatus(s))
}

// serveHealth answers 200 when the node serves requests, and 503 with the reason otherwise.
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

// status asks the control loop for a view of its state.
func (o *Operator) status(ctx context.Context) (effect.NodeStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	query, answer := o.ask()
	defer o.forget(query)
	go o.seams.Post(event.StatusRequested{QueryID: query})
	select {
	case s := <-answer:
		return s, nil
	case <-ctx.Done():
		return effect.NodeStatus{}, errNoAnswer
	}
}

// ask returns a new query and the channel for its answer, which takes the answer without a receiver.
func (o *Operator) ask() (uint64, <-chan effect.NodeStatus) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.query++
	answer := make(chan effect.NodeStatus, 1)
	o.waiting[o.query] = answer
	return o.query, answer
}

func (o *Operator) forget(query uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.waiting, query)
}
