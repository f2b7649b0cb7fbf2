package caller

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/memory"
)

// bodiesFullRetryAfter is the delay in the refusal of a request whose body finds no memory. Bodies are held until their requests end.
const bodiesFullRetryAfter = time.Second

var (
	errBodiesFull = fleet.NewProblem(fleet.Overloaded, fleet.NotRun, "the bodies of other requests fill the memory for them").
			WithRetryAfter(bodiesFullRetryAfter)
	errBodyTooLarge = fleet.NewProblem(fleet.TooLarge, fleet.NotRun, "the body exceeds the size limit")
)

// bodyMemory bounds the bytes of all request bodies that the server holds. A body is held until its request ends, since another attempt
// may need it.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

func newBodyMemory(limit int64) *bodyMemory { return &bodyMemory{limit: limit} }

// heldBody reads the body of one request and counts its bytes as held until they are released.
type heldBody struct {
	memory *bodyMemory
	holder *memory.Holder
	source io.Reader
	bytes  int64
	// taken is what the connection holds of the budget for the body. It may exceed bytes if memory was allocated in advance.
	taken int64
}

// bodyStartBytes is the size of the first buffer of a body. The buffer for the whole length is allocated when this much has arrived, so that a
// length alone takes no memory.
const bodyStartBytes = 64 << 10

// readAll reads the whole body. A body with a known length is copied at most once, which leaves less garbage than io.ReadAll.
func (b *heldBody) readAll(length int64) ([]byte, error) {
	if length <= 0 {
		return io.ReadAll(b)
	}
	body := make([]byte, min(length, bodyStartBytes))
	n, err := io.ReadFull(b, body)
	if err == nil && int64(n) < length {
		if !b.takeUpTo(length) {
			return nil, errBodiesFull
		}
		whole := make([]byte, length)
		copy(whole, body)
		body = whole
		var rest int
		rest, err = io.ReadFull(b, body[n:])
		n += rest
	}
	if err != nil {
		return nil, err
	}
	// The end of the body frees the connection for the next request.
	_, err = b.Read(make([]byte, 1))
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return body[:n], err
}

// takeUpTo charges the body up to a size.
func (b *heldBody) takeUpTo(bytes int64) bool {
	more := bytes - b.taken
	if more <= 0 {
		return true
	}
	if !b.holder.Take(more) {
		return false
	}
	b.taken = bytes
	return true
}

// Read implements io.Reader. The error is a fleet.Problem if there is no memory for further bytes.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.bytes += int64(n)
	if !b.takeUpTo(b.bytes) && err == nil {
		err = errBodiesFull
	}
	if used := b.memory.used.Add(int64(n)); used <= b.memory.limit {
		return n, err
	}
	if b.bytes > b.memory.limit {
		return n, errBodyTooLarge
	}
	return n, errBodiesFull
}

// release frees the memory of the body.
func (b *heldBody) release() {
	b.memory.used.Add(-b.bytes)
	b.holder.Return(b.taken)
}
