package caller

import (
	"bufio"
	"io"
	"net"
	"sync"

	"jayfold.dev/jayfold/internal/edge/memory"
)

// inputBytes is the size of a connection's input buffer. It grows for heads that don't fit.
const inputBytes = 4 << 10

// http2Preface is what an HTTP/2 client sends first (RFC 9113, section 3.4).
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

var inputPool = sync.Pool{New: func() any { return new([inputBytes]byte) }}

// input is what was received on a connection and not used yet. Only one goroutine uses it at a time.
type input struct {
	socket net.Conn
	holder *memory.Holder
	pooled *[inputBytes]byte
	buffer []byte
	// start and end bound the unused bytes in buffer.
	start, end int
}

func newInput(socket net.Conn, holder *memory.Holder) input {
	pooled := inputPool.Get().(*[inputBytes]byte)
	return input{socket: socket, holder: holder, pooled: pooled, buffer: pooled[:]}
}

func (i *input) release() {
	i.shrink()
	inputPool.Put(i.pooled)
	i.pooled, i.buffer, i.start, i.end = nil, nil, 0, 0
}

func (i *input) buffered() bool { return i.end > i.start }

func (i *input) bytes() []byte { return i.buffer[i.start:i.end] }

// use marks bytes as used. A buffer that has grown is given up when it is empty.
func (i *input) use(n int) {
	i.start += n
	if i.start == i.end {
		i.start, i.end = 0, 0
		i.shrink()
	}
}

// shrink gives up a buffer that has grown.
func (i *input) shrink() {
	if len(i.buffer) > inputBytes {
		i.holder.Return(int64(len(i.buffer)))
		i.buffer = i.pooled[:]
	}
}

// fill reads once from the socket.
func (i *input) fill() error {
	if i.end == len(i.buffer) {
		if err := i.makeRoom(1); err != nil {
			return err
		}
	}
	n, err := i.socket.Read(i.buffer[i.end:])
	i.end += n
	if n > 0 {
		return nil
	}
	return err
}

// makeRoom makes room for n further bytes behind the unused ones. The error is a fleet.Problem if there is no memory for them.
func (i *input) makeRoom(n int) error {
	unused := i.end - i.start
	size := len(i.buffer)
	for size-unused < n {
		size *= 2
	}
	to := i.buffer
	if size > len(i.buffer) {
		if !i.holder.Take(int64(size)) {
			return errNoMemory
		}
		to = make([]byte, size)
	}
	copy(to, i.bytes())
	if size > len(i.buffer) {
		i.shrink()
	}
	i.buffer, i.start, i.end = to, 0, unused
	return nil
}

// Read implements io.Reader for bodies.
func (i *input) Read(p []byte) (int, error) {
	if !i.buffered() {
		return i.socket.Read(p)
	}
	n := copy(p, i.bytes())
	i.use(n)
	return n, nil
}

// unread returns the bytes that a reader of a body has buffered beyond the end of the body.
func (i *input) unread(r *bufio.Reader) error {
	rest, _ := r.Peek(r.Buffered())
	if len(rest) == 0 {
		return nil
	}
	unused := append(append([]byte(nil), rest...), i.bytes()...)
	i.start, i.end = 0, 0
	if err := i.makeRoom(len(unused)); err != nil {
		return err
	}
	i.end = copy(i.buffer, unused)
	return nil
}

// discard reads and drops up to limit bytes.
func (i *input) discard(limit int64) {
	i.start, i.end = 0, 0
	_, _ = io.CopyN(io.Discard, i.socket, limit)
}

// hasPreface reports whether the input starts with the preface of HTTP/2. It reads until that is known.
func (i *input) hasPreface() (bool, error) {
	for {
		received := i.bytes()
		n := min(len(received), len(http2Preface))
		if string(received[:n]) != http2Preface[:n] {
			return false, nil
		}
		if n == len(http2Preface) {
			return true, nil
		}
		if err := i.fill(); err != nil {
			return false, err
		}
	}
}
