package scenario

import (
	"io"
	"net"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// forwarder passes the bytes of TCP connections on. Each direction can be cut: its bytes then wait, as on a network that
// loses all packets of one direction, until the direction is healed.
type forwarder struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed *sync.Cond
	isCut  map[string]bool
	conns  []net.Conn
	closed bool
}

// The directions of a link, seen from the side that opens connections.
const (
	forward  = "forward"
	backward = "backward"
)

func newForwarder(listen, target string) (*forwarder, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	f := &forwarder{listener: listener, target: target, isCut: map[string]bool{}}
	f.healed = sync.NewCond(&f.mu)
	go f.accept()
	return f, nil
}

func (f *forwarder) accept() {
	for {
		from, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.pass(from)
	}
}

// pass joins a connection with one to the target, which is opened only while both directions work.
func (f *forwarder) pass(from net.Conn) {
	if !f.keep(from) || !f.await(forward) || !f.await(backward) {
		return
	}
	to, err := net.Dial("tcp", f.target)
	if err != nil || !f.keep(to) {
		_ = from.Close()
		return
	}
	go f.copy(to, from, forward)
	f.copy(from, to, backward)
}

// keep remembers a connection, to close it with the link.
func (f *forwarder) keep(conn net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		_ = conn.Close()
		return false
	}
	f.conns = append(f.conns, conn)
	return true
}

func (f *forwarder) copy(to io.WriteCloser, from io.ReadCloser, direction string) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !f.await(direction) {
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// await blocks while a direction is cut and reports whether the link still exists.
func (f *forwarder) await(direction string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.isCut[direction] && !f.closed {
		f.healed.Wait()
	}
	return !f.closed
}

func (f *forwarder) set(direction string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut[direction] = cut
	f.healed.Broadcast()
}

func (f *forwarder) close() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.healed.Broadcast()
	for _, conn := range f.conns {
		_ = conn.Close()
	}
}

func link(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 3 {
		ts.Fatalf("usage: link NAME LISTEN TARGET")
	}
	f, err := newForwarder(args[1], args[2])
	ts.Check(err)
	held(ts).links[args[0]] = f
}

func linked(ts *testscript.TestScript, name string) *forwarder {
	f, ok := held(ts).links[name]
	if !ok {
		ts.Fatalf("no link %s", name)
	}
	return f
}

func cut(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 || args[1] != forward && args[1] != backward {
		ts.Fatalf("usage: cut NAME forward|backward")
	}
	linked(ts, args[0]).set(args[1], true)
}

func heal(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: heal NAME")
	}
	f := linked(ts, args[0])
	f.set(forward, false)
	f.set(backward, false)
}
