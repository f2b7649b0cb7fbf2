package caller

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestsSurviveMemoryPressure guards against requests that targets run and whose connections are closed without a response, since other
// callers use up the memory with heads of many short lines.
func TestRequestsSurviveMemoryPressure(t *testing.T) {
	const (
		memoryBytes = 4 << 20
		orders      = 8
		crowd       = 12
		repeats     = 30
	)
	ps := newPathServerOf(t, newLimitedServer(t, 0, memoryBytes))
	var running []*rawCaller
	for i := range orders {
		c := ps.dial(t)
		path := fmt.Sprint("/order", i)
		c.get(path)
		ps.wantStarted(t, path)
		running = append(running, c)
	}
	// The orders have waited for some time when the memory runs out.
	time.Sleep(300 * time.Millisecond)
	head := "GET /none HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: b\r\n", 1500) + "\r\n"
	var callers sync.WaitGroup
	for range crowd {
		callers.Go(func() {
			for range repeats {
				conn, err := net.Dial("tcp", strings.TrimPrefix(ps.url, "http://"))
				if err != nil {
					continue
				}
				// The server may refuse the request or close the connection.
				_ = conn.SetDeadline(time.Now().Add(time.Second))
				_, _ = io.WriteString(conn, head)
				_, _ = conn.Read(make([]byte, 1))
				_ = conn.Close()
			}
		})
	}
	callers.Wait()
	for i, c := range running {
		ps.respond(fmt.Sprint("/order", i), "hello")
		c.wantBody("hello", false)
	}
	is.New(t).True(ps.server.budget.Used() <= memoryBytes)
}
