package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
)

const (
	// headerToken carries the id that the load generator assigns to a request.
	headerToken = "Lab-Token"
	// headerRequest and headerTimeout are set by the sidecar.
	headerRequest = "Jayfold-Request"
	headerTimeout = "Jayfold-Timeout"
	// maxBodyBytes bounds the body of a request and the padding of a response.
	maxBodyBytes = 8 << 20
)

func (t *Target) handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/health", t.health).Methods(http.MethodGet)
	router.HandleFunc("/load", t.load).Methods(http.MethodGet)
	router.HandleFunc("/admin/ledger", t.ledger).Methods(http.MethodGet)
	router.HandleFunc("/admin/faults", t.setFaults).Methods(http.MethodPut)
	var number atomic.Uint64
	router.PathPrefix("/").HandlerFunc(func(w http.ResponseWriter, r *http.Request) { t.serve(w, r, number.Add(1)) })
	return router
}

// serve handles one request to the service.
func (t *Target) serve(w http.ResponseWriter, r *http.Request, number uint64) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	// A request has at most two effects, so the reducer's goroutine never blocks on this channel.
	effects := make(chan effect, 2)
	t.send(input{effects: effects, body: requestArrived{
		number:  number,
		request: r.Header.Get(headerRequest),
		token:   r.Header.Get(headerToken),
		content: r.URL.Path + "\n" + string(body),
	}})
	defer t.send(input{body: requestEnded{number: number}})
	status := t.executeEffects(ctx, number, effects)
	if status == statusAborted {
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, r, t.settings.Name, status)
}

// statusAborted is returned when no response is sent and the connection is aborted.
const statusAborted = 0

// executeEffects executes the effects of one request and returns the status code of its response.
func (t *Target) executeEffects(ctx context.Context, number uint64, effects chan effect) int {
	for {
		select {
		case <-t.lifetime.Done():
			return statusAborted
		case <-t.done:
			return statusAborted
		case <-ctx.Done():
			return http.StatusGatewayTimeout
		case e := <-effects:
			switch e := e.(type) {
			case shed:
				return http.StatusServiceUnavailable
			case respond:
				return e.status
			case serve:
				t.runService(ctx, e)
				t.send(input{body: serviceEnded{number: number, status: statusOf(e)}})
			}
		}
	}
}

// runService waits for the service time of the request, or until the request is canceled or its deadline passes.
func (t *Target) runService(ctx context.Context, e serve) {
	timer := time.NewTimer(e.duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-t.lifetime.Done():
	}
}

func statusOf(e serve) int {
	if e.failed {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}

// withDeadline returns the context of the request. It ends when the caller disconnects or the timeout in the header expires.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	timeout, err := time.ParseDuration(r.Header.Get(headerTimeout))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), timeout)
}

// wireResponse is the body of a response of the service.
type wireResponse struct {
	Token   string
	Request string
	Target  string
	Padding string `json:",omitempty"`
}

func writeResponse(w http.ResponseWriter, r *http.Request, name string, status int) {
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	body, err := json.Marshal(wireResponse{
		Token:   r.Header.Get(headerToken),
		Request: r.Header.Get(headerRequest),
		Target:  name,
		Padding: strings.Repeat("x", min(max(size, 0), maxBodyBytes)),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(headerRequest, r.Header.Get(headerRequest))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
