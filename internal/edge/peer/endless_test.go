package peer

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/event"
)

// maxAllocated is a small part of the memory of the smallest host, 184 MB.
const maxAllocated = 16 << 20

// serveEndless accepts connections and calls write on each until it fails. It returns the address.
func serveEndless(t *testing.T, prefix string, write func(net.Conn) error) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, err := io.WriteString(conn, prefix)
				for err == nil {
					err = write(conn)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// allocatedBy returns the number of bytes that a function allocates.
func allocatedBy(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestEndlessReply guards against another program at the address of a peer that replies to a message with bytes without end, which
// fill the memory of the node.
func TestEndlessReply(t *testing.T) {
	// The prefix is the length of a gob message of 1 GB, the longest that the decoder reads.
	next := make([]byte, 64<<10)
	address := serveEndless(t, "\xfc\x3f\xff\xff\xff", func(conn net.Conn) error {
		_, err := conn.Write(next)
		return err
	})
	sender := newObservedMessenger(t, "a")
	allocated := allocatedBy(func() {
		sender.ping("b", address, 1)
		is.New(t).Equal(receive(t, sender.posted), event.Body(event.MessageSendFailed{To: "b"}))
	})
	is.New(t).True(allocated < maxAllocated)
}

// TestLongResponseHead guards against another program at the address of a peer that responds with a head without end, and against
// a bound below the head of a target's response.
func TestLongResponseHead(t *testing.T) {
	for name, c := range map[string]struct {
		headBytes int
		ok        bool
	}{
		"the longest of a target": {60 << 10, true},
		"over the bound":          {1 << 20, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.target = func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Long", strings.Repeat("x", c.headBytes))
			}
			result := h.send(t.Context(), h.attempt(), http.MethodGet, "")
			is.Equal(result.err == nil, c.ok)
		})
	}
}
