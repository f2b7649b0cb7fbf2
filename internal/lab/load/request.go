package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// scheduledRequest is a lookup or order that is due at a given time.
type scheduledRequest struct {
	token              string
	isOrder            bool
	withIdempotencyKey bool
	due                time.Time
	timeout            time.Duration
	url                string
	path               string
	paddingBytes       int
}

// fault is what went wrong with a request, apart from its status code.
type fault string

const (
	noFault    fault = ""
	notSent    fault = "not sent"   // too many requests in flight, or no connection could be opened
	noResponse fault = "no answer"  // the connection broke or the timeout expired before the status line
	truncated  fault = "truncated"  // the body could not be read to its end
	mismatched fault = "wrong body" // status 200, but the body is not the complete response to this request
)

// result is the outcome of a request.
type result struct {
	request scheduledRequest
	status  int
	verdict string
	latency time.Duration
	fault   fault
	// problem is the problem stated in the body of a refusal.
	problem string
}

// succeeded reports whether the caller received the complete response with status 200.
func (r result) succeeded() bool { return r.fault == noFault && r.status == http.StatusOK }

// send sends the request and checks its response.
func (s scheduledRequest) send(ctx context.Context, seams Seams) result {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	request, err := s.httpRequest(ctx)
	if err != nil {
		return result{request: s, fault: notSent}
	}
	response, err := seams.Send(request)
	if err != nil {
		return result{request: s, latency: seams.Now().Sub(s.due), fault: faultOf(err)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	r := result{
		request: s,
		status:  response.StatusCode,
		verdict: response.Header.Get("Jayfold-Verdict"),
		latency: seams.Now().Sub(s.due),
	}
	switch {
	case err != nil:
		r.fault = truncated
	case r.status == http.StatusOK && !s.isOwnResponse(body):
		r.fault = mismatched
	case r.status != http.StatusOK:
		r.problem = refusalProblem(body)
	}
	return r
}

// httpRequest builds the HTTP request. It sets no GetBody, so that the transport never retries an order by itself.
func (s scheduledRequest) httpRequest(ctx context.Context) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(http.NoBody)
	if s.isOrder {
		method, body = http.MethodPost, io.MultiReader(bytes.NewReader([]byte(s.token)))
	}
	url := fmt.Sprintf("%s%s?size=%d", s.url, s.path, s.paddingBytes)
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Lab-Token", s.token)
	request.Header.Set("Jayfold-Caller", "lab")
	if s.isOrder && s.withIdempotencyKey {
		request.Header.Set("Idempotency-Key", s.token)
	}
	return request, nil
}

// faultOf distinguishes a request that was not sent, because no connection could be opened, from one that may have been sent.
func faultOf(err error) fault {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return notSent
	}
	return noResponse
}

// wireResponse is the response body of a stand-in target.
type wireResponse struct {
	Token   string
	Padding string
}

// refusalProblem returns the problem stated in the body of a refusal, or an empty text if there is none.
func refusalProblem(body []byte) string {
	var refusal struct{ Problem string }
	_ = json.Unmarshal(body, &refusal)
	return refusal.Problem
}

// isOwnResponse reports whether the body is the complete response to this request.
func (s scheduledRequest) isOwnResponse(body []byte) bool {
	var response wireResponse
	err := json.Unmarshal(body, &response)
	return err == nil && response.Token == s.token && len(response.Padding) == s.paddingBytes
}
