package target_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// echo returns a response that names its request, or none if id is empty.
func echo(id, body string) string {
	name := ""
	if id != "" {
		name = "Jayfold-Request: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", name, len(body), body)
}

// serveCopies serves requests on loopback. It responds with a response that names its request if named is true, and writes the first
// response of a connection once more as soon as the second request on it has arrived, before the response to that request.
func serveCopies(t *testing.T, named bool) string {
	return serveConns(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		var copied string
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := ""
			if named {
				id = request.Header.Get("Jayfold-Request")
			}
			response := echo(id, "to "+request.Header.Get("Jayfold-Request"))
			if _, err := conn.Write([]byte(copied + response)); err != nil {
				return
			}
			copied = response
		}
	})
}

// TestSecondCopyOfAResponse guards against a response that a target writes once more, late, on a connection that is in use again: the
// next caller would receive an answer that is not its own.
func TestSecondCopyOfAResponse(t *testing.T) {
	for name, named := range map[string]bool{"a target that names requests": true, "a target that does not": false} {
		t.Run(name, func(t *testing.T) {
			is, client := is.New(t), newClient()
			address := serveCopies(t, named)
			for i := range 5 {
				id := fleet.RequestID(fmt.Sprint("r", i))
				run := newRun(address, 5*time.Second)
				run.Attempt.ID = fleet.NewAttemptID(id, 1)
				body, err := send(t.Context(), client, run, httptest.NewRequest(http.MethodGet, "/", nil))
				is.NoErr(err)
				is.Equal(body, "to "+string(id))
			}
		})
	}
}
