package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// The headers of every response.
const (
	headerVerdict = "Jayfold-Verdict"
	headerRequest = "Jayfold-Request"
)

// defaultRetryAfter is the Retry-After time for problems that specify none.
const defaultRetryAfter = time.Second

var errHeadersTooLarge = fleet.NewProblem(fleet.TooLarge, fleet.NotRun, "the headers exceed the size limit")

// wireRefusal is the body of the response to a refused request.
type wireRefusal struct {
	Problem string
	Verdict string
	Request string
}

// statusByCause maps causes to HTTP status codes. Causes without an entry are reported as 502.
var statusByCause = map[fleet.Cause]int{
	fleet.BadRequest:     http.StatusBadRequest,
	fleet.TooLarge:       http.StatusRequestEntityTooLarge,
	fleet.NoRoute:        http.StatusNotFound,
	fleet.Unauthorized:   http.StatusUnauthorized,
	fleet.UnknownParent:  http.StatusServiceUnavailable,
	fleet.OverCap:        http.StatusTooManyRequests,
	fleet.NoTables:       http.StatusServiceUnavailable,
	fleet.NoTarget:       http.StatusServiceUnavailable,
	fleet.Overloaded:     http.StatusServiceUnavailable,
	fleet.Ejected:        http.StatusServiceUnavailable,
	fleet.Draining:       http.StatusServiceUnavailable,
	fleet.BodyStalled:    http.StatusServiceUnavailable,
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
	if problem == errHeadersTooLarge || problem == errTooManyLines {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if status, ok := statusByCause[problem.Cause]; ok {
		return status
	}
	return http.StatusBadGateway
}

// writeRefusal responds with a problem.
func writeRefusal(w http.ResponseWriter, id fleet.RequestID, problem fleet.Problem) {
	status := statusOf(problem)
	header := w.Header()
	setHeaders(header, id, problem.Verdict)
	header.Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable || problem.Cause == fleet.OverCap {
		header.Set("Retry-After", retryAfterSeconds(problem.RetryAfter))
	}
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", headerAccountKey)
	}
	if problem.Cause == fleet.TooLarge || problem.Cause == fleet.BadRequest {
		// The rest of the request may still arrive on the connection.
		header.Set("Connection", "close")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wireRefusal{
		Problem: string(problem.Cause) + ": " + problem.Detail,
		Verdict: problem.Verdict.String(),
		Request: string(id),
	})
}

// setHeaders sets the headers of every response.
func setHeaders(header http.Header, id fleet.RequestID, verdict fleet.Verdict) {
	header.Set(headerVerdict, verdict.String())
	header.Set(headerRequest, string(id))
}

// retryAfterSeconds formats a duration for the Retry-After header, rounded up to whole seconds.
func retryAfterSeconds(wait time.Duration) string {
	if wait <= 0 {
		wait = defaultRetryAfter
	}
	return strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10)
}

// problemOf returns err as a problem. An error of another type becomes a problem with cause Broken and verdict MayHaveRun.
func problemOf(err error) fleet.Problem {
	if problem, ok := errors.AsType[fleet.Problem](err); ok {
		return problem
	}
	return fleet.NewProblem(fleet.Broken, fleet.MayHaveRun, err.Error())
}
