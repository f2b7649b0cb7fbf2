package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// newID returns an id for an attempt, in the form of the pages: 16 hexadecimal digits.
func newID() string { return fmt.Sprintf("%08x%08x", uint32(time.Now().Unix()), uint32(lastID.Add(1))) }

// answer is what a client got.
type answer struct {
	status     int
	body       string
	signature  string
	retryAfter time.Duration
	err        error
	took       time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer (%v) after %v", a.err, a.took.Round(time.Millisecond))
	}
	return fmt.Sprintf("%d after %v", a.status, a.took.Round(time.Millisecond))
}

// request returns the bytes of a request.
func request(method, path, host, id string, deadline time.Duration, more, body string) string {
	length := ""
	if body != "" || method == http.MethodPost {
		length = "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	return fmt.Sprintf(wire("%s %s HTTP/1.1\r\nHost: %s\r\n@id@: %s\r\n@budget@: %d\r\n%s%s\r\n%s"),
		method, path, host, id, deadline.Milliseconds(), more, length, body)
}

// send sends one request on a new connection and reads its answer.
func send(address, method, path, host, id string, deadline time.Duration, more, body string) answer {
	began := time.Now()
	fail := func(err error) answer { return answer{err: err, took: time.Since(began)} }
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return fail(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(began.Add(deadline + time.Second))
	if _, err := io.WriteString(c, request(method, path, host, id, deadline, more, body)); err != nil {
		return fail(err)
	}
	a := readAnswer(bufio.NewReader(c), method)
	a.took = time.Since(began)
	return a
}

func readAnswer(r *bufio.Reader, method string) answer {
	res, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: res.StatusCode, body: string(body), signature: res.Header.Get(wire("@proof@"))}
	if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	return a
}
