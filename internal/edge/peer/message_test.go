package peer

import (
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/edge/recovery"
)

// testTimeout bounds the wait for an expected event.
const testTimeout = 10 * time.Second

// observedMessenger is a messenger whose posted events and observed effects can be received.
type observedMessenger struct {
	*Messenger
	posted   chan event.Body
	observed chan effect.Effect
}

func newObservedMessenger(t *testing.T, name string) observedMessenger {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := observedMessenger{posted: make(chan event.Body, 1024), observed: make(chan effect.Effect, 1024)}
	self := fleet.Member{Node: fleet.NodeID(name), PeerAddress: listener.Addr().String()}
	s.Messenger = NewMessenger(self, MessengerSeams{
		Post:    func(b event.Body) { s.posted <- b },
		Observe: func(e effect.Effect) { s.observed <- e },
	})
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		s.Close()
	})
	return s
}

func (s observedMessenger) ping(to, address string, sequence uint64) {
	s.Send(effect.SendMessage{
		To:          fleet.NodeID(to),
		Address:     address,
		Message:     message.Ping{Sequence: sequence},
		Incarnation: 3,
		Revision:    4,
	})
}

// receive returns the next value from a channel, or fails the test after testTimeout.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(testTimeout):
		t.Fatal("no value received in time")
		panic("unreachable")
	}
}

// eventually fails the test unless the condition becomes true within testTimeout.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not become true in time")
		}
	}
}

// assertCause fails the test unless the next observed effect adds to a counter with the given cause.
func assertCause(t *testing.T, s observedMessenger, cause string) {
	t.Helper()
	count, ok := receive(t, s.observed).(effect.AddToCounter)
	is.New(t).True(ok)
	is.New(t).Equal(count.Labels[0].Value, cause)
}

// TestMessagesArriveWithTheirEnvelope guards against messages that lose a field of their envelope or arrive out of order, and
// against a new connection for each message.
func TestMessagesArriveWithTheirEnvelope(t *testing.T) {
	a, b := newObservedMessenger(t, "a"), newObservedMessenger(t, "b")
	for sequence := range uint64(3) {
		a.ping("b", b.address, sequence)
		is.New(t).Equal(receive(t, b.posted), event.MessageReceived{Envelope: message.Envelope{
			From: "a", Incarnation: 3, Address: a.address, Revision: 4, Message: message.Ping{Sequence: sequence},
		}})
	}
	outbound, _ := a.Connections()
	is.New(t).Equal(outbound, 1) // one cached connection for all messages to a peer
}

// TestUnreachablePeerIsReported guards against a probe that waits for its timeout although the peer refuses connections.
func TestUnreachablePeerIsReported(t *testing.T) {
	a := newObservedMessenger(t, "a")
	a.ping("b", "127.0.0.1:1", 1)
	is.New(t).Equal(receive(t, a.posted), event.MessageSendFailed{To: "b"})
	assertCause(t, a, "Unreachable")
}

// TestSilentConnectionIsClosed guards against an open connection that goes silent and then blocks the control loop or loses
// messages permanently.
func TestSilentConnectionIsClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = listener.Close() }()
	a := newObservedMessenger(t, "a")
	a.timeouts.call = 50 * time.Millisecond
	for sequence := range uint64(2 * peerQueueLength) {
		a.ping("b", listener.Addr().String(), sequence)
	}
	conn, err := listener.Accept()
	is.New(t).NoErr(err)
	assertCause(t, a, "QueueFull")
	is.New(t).Equal(receive(t, a.posted), event.MessageSendFailed{To: "b"})
	is.New(t).NoErr(conn.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err = io.Copy(io.Discard, conn)
	is.New(t).NoErr(err) // the connection was closed before the read deadline
}

// TestBrokenCachedConnectionIsReplaced guards against the loss of the first message to a peer that has restarted on the same
// address, which breaks the cached connection.
func TestBrokenCachedConnectionIsReplaced(t *testing.T) {
	a, b := newObservedMessenger(t, "a"), newObservedMessenger(t, "b")
	a.ping("b", b.address, 1)
	receive(t, b.posted)
	eventually(t, func() bool {
		_, received := a.Traffic()
		return received > 0 // the reply, without which the first message counts as failed
	})
	b.mu.Lock()
	for conn := range b.inbound {
		_ = conn.Close()
	}
	b.mu.Unlock()
	a.ping("b", b.address, 2)
	receive(t, b.posted)
	is.New(t).Equal(len(a.posted), 0) // no MessageSendFailed
}

// TestMessageOnSilentConnectionArrives guards against a change of the tables or a tombstone that is lost on a connection which has gone
// silent while it was idle.
func TestMessageOnSilentConnectionArrives(t *testing.T) {
	is := is.New(t)
	a, b := newObservedMessenger(t, "a"), newObservedMessenger(t, "b")
	a.timeouts.call = 100 * time.Millisecond
	proxy := newSilencingProxy(t, b.address)
	a.ping("b", proxy.address, 1)
	_ = receive(t, b.posted)
	eventually(t, func() bool {
		_, received := a.Traffic()
		return received > 0
	})
	proxy.silenceOpen()
	a.ping("b", proxy.address, 2)
	got := receive(t, b.posted).(event.MessageReceived)
	is.Equal(got.Envelope.Message, message.Ping{Sequence: 2})
	is.Equal(len(a.posted), 0)
}

// TestIdleConnectionsAreClosed guards against unused connections that stay open, up to one for each of 540 peers.
func TestIdleConnectionsAreClosed(t *testing.T) {
	a, b := newObservedMessenger(t, "a"), newObservedMessenger(t, "b")
	a.timeouts.idle = time.Millisecond
	a.ping("b", b.address, 1)
	receive(t, b.posted)
	eventually(t, func() bool {
		outbound, _ := a.Connections()
		_, inbound := b.Connections()
		return outbound+inbound == 0
	})
}

// TestOversizedMessageEndsTheConnection guards against an oversized message that takes memory before its connection is closed:
// gob alone accepts 1 GB.
func TestOversizedMessageEndsTheConnection(t *testing.T) {
	b := newObservedMessenger(t, "b")
	conn, err := net.Dial("tcp", b.address)
	is.New(t).NoErr(err)
	defer func() { _ = conn.Close() }()
	var header bytes.Buffer
	is.New(t).NoErr(gob.NewEncoder(&header).Encode(struct {
		ServiceMethod string
		Seq           uint64
	}{deliverMethod, 1}))
	_, err = conn.Write(header.Bytes())
	is.New(t).NoErr(err)
	chunk := bytes.Repeat([]byte{0}, 1<<20)
	oversized := []byte{0xfc, 0x3f, 0xff, 0xff, 0xff} // a gob value of 1 GB - 1
	_, err = conn.Write(oversized)
	for range 64 {
		if err != nil {
			return
		}
		_, err = conn.Write(chunk)
	}
	t.Fatal("the peer kept reading")
}

// TestBadMessagesAreRefused guards against malformed or oversized messages that reach the reducer, and against refusals that are
// not counted.
func TestBadMessagesAreRefused(t *testing.T) {
	valid, err := encode(message.Envelope{From: "a", Message: message.Ping{Sequence: 1}})
	is.New(t).NoErr(err)
	noSender, err := encode(message.Envelope{Message: message.Ping{}})
	is.New(t).NoErr(err)
	unknownStatus, err := encode(message.Envelope{From: "a", Message: message.Ping{Members: []fleet.Member{{Node: "b", Status: 9}}}})
	is.New(t).NoErr(err)
	for name, encoded := range map[string][]byte{
		"empty":          {},
		"no envelope":    []byte("hello"),
		"truncated":      valid[:len(valid)-1],
		"no sender":      noSender,
		"unknown kind":   bytes.Replace(valid, []byte("Ping"), []byte("Pong"), 1),
		"unknown status": unknownStatus,
		"too large":      make([]byte, contentLimit+1),
	} {
		t.Run(name, func(t *testing.T) {
			b := newObservedMessenger(t, "b")
			var out []byte
			is.New(t).True((&nodeService{messenger: b.Messenger}).Deliver(encoded, &out) != nil)
			assertCause(t, b, "Undecodable")
			is.New(t).Equal(len(b.posted), 0)
		})
	}
}

// TestOversizedMessageIsNotEncoded guards against messages that are sent although every receiver refuses them for their size.
func TestOversizedMessageIsNotEncoded(t *testing.T) {
	_, err := encode(message.Envelope{From: "a", Message: message.TablesContent{Content: make([]byte, contentLimit)}})
	is.New(t).Equal(err, errTooLarge)
	_, err = encode(message.Envelope{From: "a", Message: message.LeaseRequest{Pool: fleet.PoolName(make([]byte, messageLimit))}})
	is.New(t).Equal(err, errTooLarge)
}

// messageGenerators draws messages of each kind with every field set, so that a field that is not encoded decodes to its zero
// value and fails the test.
var messageGenerators = map[string]*rapid.Generator[message.Message]{
	"Ping":          messageGenerator[message.Ping](),
	"Ack":           messageGenerator[message.Ack](),
	"PingRequest":   messageGenerator[message.PingRequest](),
	"SyncRequest":   messageGenerator[message.SyncRequest](),
	"Sync":          messageGenerator[message.SyncReply](),
	"LeaseRequest":  messageGenerator[message.LeaseRequest](),
	"LeaseGrant":    messageGenerator[message.LeaseGrant](),
	"LeaseRefusal":  messageGenerator[message.LeaseRefusal](),
	"LeaseRelease":  messageGenerator[message.LeaseRelease](),
	"LeaseRecall":   messageGenerator[message.LeaseRecall](),
	"Suspicions":    messageGenerator[message.CrashSuspicions](),
	"TablesRequest": messageGenerator[message.TablesRequest](),
	"TablesContent": messageGenerator[message.TablesContent](),
	"UsageRequest":  messageGenerator[message.UsageRequest](),
	"UsageReply":    messageGenerator[message.UsageReply](),
}

func messageGenerator[M message.Message]() *rapid.Generator[message.Message] {
	return rapid.Custom(func(t *rapid.T) message.Message {
		var m M
		fill(t, reflect.ValueOf(&m).Elem())
		return m
	})
}

// fill sets every field of v to a drawn value other than its zero value.
func fill(t *rapid.T, v reflect.Value) {
	if at, ok := v.Addr().Interface().(*time.Time); ok {
		*at = time.UnixMilli(rapid.Int64Range(1, 1<<40).Draw(t, "time"))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i))
		}
		if member, ok := v.Addr().Interface().(*fleet.Member); ok {
			for i := range member.Targets {
				member.Targets[i].ID = fleet.NewTargetID(member.Node, string(member.Targets[i].ID))
			}
			for i := range member.Tombstones {
				member.Tombstones[i].Target = fleet.NewTargetID(member.Node, string(member.Tombstones[i].Target))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), rapid.IntRange(1, 4).Draw(t, "length"), 4))
		for i := range v.Len() {
			fill(t, v.Index(i))
		}
	case reflect.String:
		v.SetString(rapid.StringMatching("[a-z]{1,12}").Draw(t, "string"))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint8:
		v.SetUint(1)
	case reflect.Uint64:
		v.SetUint(rapid.Uint64Min(1).Draw(t, "uint64"))
	case reflect.Float64:
		v.SetFloat(rapid.Float64Range(0.001, 1).Draw(t, "share"))
	default:
		v.SetInt(rapid.Int64Range(1, 1<<40).Draw(t, "int"))
	}
}

// TestEveryMessageKeepsItsFields guards against a field of a message that is not encoded, such as a newly added one.
func TestEveryMessageKeepsItsFields(t *testing.T) {
	for _, c := range codecs {
		t.Run(c.kind, rapid.MakeCheck(func(t *rapid.T) {
			body := messageGenerators[c.kind].Draw(t, c.kind)
			sent := message.Envelope{From: "a", Incarnation: 1, Address: "b", Revision: 2, Message: body}
			encoded, err := encode(sent)
			is.New(t).NoErr(err)
			got, err := decode(encoded)
			is.New(t).NoErr(err)
			is.New(t).Equal(got, sent)
		}))
	}
}

// FuzzDecode guards against bytes from the network that make the decoder panic, and against accepted bytes that do not encode to
// the same message.
func FuzzDecode(f *testing.F) {
	for _, c := range codecs {
		encoded, err := encode(message.Envelope{From: "a", Address: "b", Message: messageGenerators[c.kind].Example(1)})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		envelope, err := decode(encoded)
		if err != nil {
			return
		}
		again, err := encode(envelope)
		if err != nil {
			return // a message accepted within 64 KB may exceed the limit when it is encoded again
		}
		same, err := decode(again)
		is.New(t).NoErr(err)
		is.New(t).Equal(same, envelope)
	})
}

// TestPanicInAMessageIsContained guards against a message that ends the process of its receiver.
func TestPanicInAMessageIsContained(t *testing.T) {
	is := is.New(t)
	boundary := recovery.New(recovery.Seams{Now: time.Now, Observe: func(effect.Effect) {}})
	m := NewMessenger(fleet.Member{Node: "b"}, MessengerSeams{
		Observe:  func(effect.Effect) {},
		Post:     func(event.Body) { panic("simulated") },
		Recovery: boundary,
	})
	encoded, err := encode(message.Envelope{From: "a", Address: "a", Message: message.Ping{}})
	is.NoErr(err)
	var out []byte
	is.True((&nodeService{messenger: m}).Deliver(encoded, &out) != nil)
}
