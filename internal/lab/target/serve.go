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
	// headerToken is the load generator's own id of a request.
	headerToken = "Lab-Token"
	// headerRequest and headerTimeout are set by the sidecar.
	headerRequest = "Jayfold-Request"
	headerTimeout = "Jayfold-Timeout"
	// maxBody bounds a request's body and the padding of an answer, in bytes.
	maxBody = 8 << 20
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

// serve runs one request of the service.
func (t *Target) serve(w http.ResponseWriter, r *http.Request, number uint64) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := deadline(r)
	defer cancel()
	// Two effects at most name one request, so the owner of the state never blocks.
	effects := make(chan effect, 2)
	t.send(post{effects: effects, body: requestArrived{
		number:  number,
		request: r.Header.Get(headerRequest),
		token:   r.Header.Get(headerToken),
		content: r.URL.Path + "\n" + string(body),
	}})
	defer t.send(post{body: requestLeft{number: number}})
	status := t.await(ctx, number, effects)
	if status == statusGone {
		panic(http.ErrAbortHandler)
	}
	respond(w, r, t.settings.Name, status)
}

// statusGone means that there is nobody to answer.
const statusGone = 0

// await carries out the effects of one request and returns the status of its answer.
func (t *Target) await(ctx context.Context, number uint64, effects chan effect) int {
	for {
		select {
		case <-t.life.Done():
			return statusGone
		case <-t.done:
			return statusGone
		case <-ctx.Done():
			return http.StatusGatewayTimeout
		case e := <-effects:
			switch e := e.(type) {
			case shed:
				return http.StatusServiceUnavailable
			case answer:
				return e.status
			case serve:
				t.work(ctx, e)
				t.send(post{body: serviceEnded{number: number, status: statusOf(e)}})
			}
		}
	}
}

// work takes as long as the service does, or until the request is canceled or its deadline passes.
func (t *Target) work(ctx context.Context, e serve) {
	timer := time.NewTimer(e.takes)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-t.life.Done():
	}
}

func statusOf(e serve) int {
	if e.failed {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}

// deadline returns the request's context, which ends when the caller goes away or the budget in its header is used up.
func deadline(r *http.Request) (context.Context, context.CancelFunc) {
	budget, err := time.ParseDuration(r.Header.Get(headerTimeout))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), budget)
}

// wireAnswer is the body of an answer of the service.
type wireAnswer struct {
	Token   string
	Request string
	Target  string
	Padding string `json:",omitempty"`
}

func respond(w http.ResponseWriter, r *http.Request, name string, status int) {
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	body, err := json.Marshal(wireAnswer{
		Token:   r.Header.Get(headerToken),
		Request: r.Header.Get(headerRequest),
		Target:  name,
		Padding: strings.Repeat("x", min(max(size, 0), maxBody)),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
