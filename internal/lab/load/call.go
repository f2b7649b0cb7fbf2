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

// call is one request of a caller.
type call struct {
	token   string
	order   bool
	key     bool
	due     time.Time
	timeout time.Duration
	url     string
	path    string
	size    int
}

// fault is what is wrong with how a request ended, apart from its status.
type fault string

// The faults.
const (
	none      fault = ""
	notSent   fault = "not sent"   // the generator or the connection refused it; nothing was sent
	noAnswer  fault = "no answer"  // the connection broke or the time was over before the status came
	truncated fault = "truncated"  // the body broke off
	foreign   fault = "wrong body" // the answer is not the whole answer to this request
)

// result is how a request ended.
type result struct {
	call    call
	status  int
	verdict string
	took    time.Duration
	fault   fault
	// problem is the text of a refusal.
	problem string
}

// whole reports whether the caller got what it asked for.
func (r result) whole() bool { return r.fault == none && r.status == http.StatusOK }

// send sends the request and checks its answer.
func (c call) send(ctx context.Context, seams Seams) result {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := c.request(ctx)
	if err != nil {
		return result{call: c, fault: notSent}
	}
	response, err := seams.Send(request)
	if err != nil {
		return result{call: c, took: seams.Now().Sub(c.due), fault: faultOf(err)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	r := result{
		call:    c,
		status:  response.StatusCode,
		verdict: response.Header.Get("Jayfold-Verdict"),
		took:    seams.Now().Sub(c.due),
	}
	switch {
	case err != nil:
		r.fault = truncated
	case r.status == http.StatusOK && !c.answeredBy(body):
		r.fault = foreign
	case r.status != http.StatusOK:
		r.problem = problemIn(body)
	}
	return r
}

// request returns the request. Its body has no GetBody, so that the transport never sends an order twice by itself.
func (c call) request(ctx context.Context) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(http.NoBody)
	if c.order {
		method, body = http.MethodPost, io.MultiReader(bytes.NewReader([]byte(c.token)))
	}
	url := fmt.Sprintf("%s%s?size=%d", c.url, c.path, c.size)
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Lab-Token", c.token)
	request.Header.Set("Jayfold-Caller", "lab")
	if c.order && c.key {
		request.Header.Set("Idempotency-Key", c.token)
	}
	return request, nil
}

// faultOf tells a request that was never sent, because no connection could be opened, from one that may have been.
func faultOf(err error) fault {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return notSent
	}
	return noAnswer
}

// wireAnswer is the body of a stand-in target's answer.
type wireAnswer struct {
	Token   string
	Padding string
}

// problemIn returns the text of a refusal.
func problemIn(body []byte) string {
	var refusal struct{ Problem string }
	_ = json.Unmarshal(body, &refusal)
	return refusal.Problem
}

// answeredBy reports whether the body is the whole answer to this request.
func (c call) answeredBy(body []byte) bool {
	var answer wireAnswer
	err := json.Unmarshal(body, &answer)
	return err == nil && answer.Token == c.token && len(answer.Padding) == c.size
}
