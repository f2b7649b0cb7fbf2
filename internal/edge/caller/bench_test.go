package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// BenchmarkRequest measures the processor time of an ordinary request with the loop of this package and with that of net/http, which serves
// the same handler. The difference must stay within 2% of what a node spends on a request. The caller's own cost is part of both figures.
func BenchmarkRequest(b *testing.B) {
	settings := Settings{
		Protocol:    NewProtocol(),
		Limits:      fleet.Limits{HeaderBytes: 64 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second},
		BodyTimeout: 30 * time.Second, BufferedBytes: 32 << 20,
	}
	var server *Server
	server = New(settings, Seams{Now: time.Now, NewRequestID: RandomRequestID, Post: func(body event.Body) {
		if arrived, ok := body.(event.RequestArrived); ok {
			problem := fleet.NewProblem(fleet.NoRoute, fleet.NotRun, "no route")
			server.RefuseRequest(effect.RefuseRequest{Request: arrived.Request.ID, Problem: problem})
		}
	}})
	library := &http.Server{Handler: server.http.Handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: idleTimeout}
	get := "GET /orders/17?full=1 HTTP/1.1\r\nHost: orders.example\r\nUser-Agent: bench/1.0\r\nAccept: */*\r\n" +
		"Jayfold-Timeout: 250ms\r\n\r\n"
	post := "POST /orders HTTP/1.1\r\nHost: orders.example\r\nUser-Agent: bench/1.0\r\nContent-Length: 11\r\n\r\nhello world"
	for _, c := range []struct {
		name    string
		request string
		serve   func(net.Listener) error
	}{{"get/net-http", get, library.Serve}, {"get/loop", get, server.Serve}, {"post/net-http", post, library.Serve}, {"post/loop", post, server.Serve}} {
		b.Run(c.name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go func() { _ = c.serve(listener) }()
			defer func() { _ = listener.Close() }()
			benchmarkCallers(b, listener.Addr().String(), c.request)
		})
	}
}

// benchmarkCallers sends b.N requests from several connections and reports the processor time of the process for each.
func benchmarkCallers(b *testing.B, address, request string) {
	const callers = 8
	b.ReportAllocs()
	before := processorTime()
	var all sync.WaitGroup
	for i := range callers {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		all.Go(func() {
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for range b.N/callers + min(1, max(0, b.N%callers-i)) {
				_, _ = io.WriteString(conn, request)
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
	all.Wait()
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
