package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// The headers of every answer.
const (
	headerVerdict = "Jayfold-Verdict"
	headerRequest = "Jayfold-Request"
)

// defaultRetryAfter goes with a refusal for which no time is known.
const defaultRetryAfter = time.Second

var errHeadersTooLarge = fleet.NewProblem(fleet.TooLarge, fleet.NotRun, "the headers are over the limit")

// wireRefusal is the body of a refusal.
type wireRefusal struct {
	Problem string
	Verdict string
	Request string
}

// statuses gives the HTTP status of each cause.
var statuses = map[fleet.Cause]int{
	fleet.BadRequest:     http.StatusBadRequest,
	fleet.TooLarge:       http.StatusRequestEntityTooLarge,
	fleet.NoRoute:        http.StatusNotFound,
	fleet.NoTables:       http.StatusServiceUnavailable,
	fleet.NoTarget:       http.StatusServiceUnavailable,
	fleet.Overloaded:     http.StatusServiceUnavailable,
	fleet.Ejected:        http.StatusServiceUnavailable,
	fleet.Draining:       http.StatusServiceUnavailable,
	fleet.UnknownTarget:  http.StatusServiceUnavailable,
	fleet.Duplicate:      http.StatusBadGateway,
	fleet.Quarantined:    http.StatusTooManyRequests,
	fleet.DeadlinePassed: http.StatusGatewayTimeout,
	fleet.Canceled:       http.StatusGatewayTimeout,
	fleet.Unreachable:    http.StatusBadGateway,
	fleet.Broken:         http.StatusBadGateway,
	fleet.TargetCrashed:  http.StatusBadGateway,
	fleet.TargetFailed:   http.StatusBadGateway,
	fleet.KeyConflict:    http.StatusConflict,
}

func statusOf(problem fleet.Problem) int {
	if problem == errHeadersTooLarge {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if status, ok := statuses[problem.Cause]; ok {
		return status
	}
	return http.StatusBadGateway
}

// refuse answers with a problem.
func refuse(w http.ResponseWriter, id fleet.RequestID, problem fleet.Problem) {
	status := statusOf(problem)
	header := w.Header()
	mark(header, id, problem.Verdict)
	header.Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", seconds(problem.RetryAfter))
	}
	if problem.Cause == fleet.TooLarge || problem.Cause == fleet.BadRequest {
		// The rest of the request may still be on its way.
		header.Set("Connection", "close")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wireRefusal{
		Problem: string(problem.Cause) + ": " + problem.Detail,
		Verdict: problem.Verdict.String(),
		Request: string(id),
	})
}

// mark sets the headers that every answer has.
func mark(header http.Header, id fleet.RequestID, verdict fleet.Verdict) {
	header.Set(headerVerdict, verdict.String())
	header.Set(headerRequest, string(id))
}

// seconds rounds a wait up to whole seconds, the unit of Retry-After.
func seconds(wait time.Duration) string {
	if wait <= 0 {
		wait = defaultRetryAfter
	}
	return strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10)
}

// problemOf returns err as a problem. Any other error counts as a failure after which the request may have run.
func problemOf(err error) fleet.Problem {
	if problem, ok := errors.AsType[fleet.Problem](err); ok {
		return problem
	}
	return fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, err.Error())
}
