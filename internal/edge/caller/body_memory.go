package caller

import (
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
	// taken is the part of bytes that the connection holds in the budget.
	taken int64
}

// Read implements io.Reader. The error is a fleet.Problem if there is no memory for further bytes.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.bytes += int64(n)
	if b.holder.Take(int64(n)) {
		b.taken += int64(n)
	} else if err == nil {
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
