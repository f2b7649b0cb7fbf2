package capacity

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/membership"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/edge/peer"
	"jayfold.dev/jayfold/internal/edge/platform"
	labplatform "jayfold.dev/jayfold/internal/lab/platform"
)

// simulatedFleet stands in for all of a fleet but one node: the platform, and the other members, each with addresses of its own on loopback
// for messages and for attempts.
type simulatedFleet struct {
	size fleetSize
	// self is the record of the node under measurement, without its addresses, and others are those of the rest.
	self   fleet.Member
	others []fleet.Member
	// syncMember answers pulls of records; it is a member that knows all others.
	syncMember membership.State

	platformURL string
	platform    *platform.Client
	revision    fleet.Revision

	sidecar   *peer.Sidecar
	attempts  sync.Map // of fleet.Attempt by id, while they run
	answered  atomic.Int64
	forwarded atomic.Int64

	closers []func()
	running sync.WaitGroup
}

func newSimulatedFleet(ctx context.Context, d fleetSize) (*simulatedFleet, error) {
	records := d.memberRecords()
	r := &simulatedFleet{size: d, self: records[0], others: records[1:]}
	r.sidecar = peer.NewSidecar(peer.SidecarSeams{
		Now: time.Now, Post: r.postSidecarEvent, Run: runAttempt,
		Crashed: func(context.Context, string) bool { return false },
	})
	server := peer.NewForwardServer(r.sidecar)
	r.closers = append(r.closers, func() { _ = server.Close() })
	for i := range r.others {
		if err := r.startMember(&r.others[i], i, server); err != nil {
			r.stop()
			return nil, err
		}
	}
	r.syncMember, _ = membership.New(r.others[0]).MessageReceived(time.Now(), message.Envelope{
		From: r.others[1].Node, Incarnation: r.others[1].Incarnation, Message: message.SyncReply{Members: r.others},
	})
	if err := r.startPlatform(ctx); err != nil {
		r.stop()
		return nil, err
	}
	return r, nil
}

// stop ends everything that stands in for the fleet.
func (r *simulatedFleet) stop() {
	for _, end := range r.closers {
		end()
	}
	r.running.Wait()
}

// startMember opens the addresses of a member. The measured node opens a connection to each that it uses, as in a real fleet.
func (r *simulatedFleet) startMember(m *fleet.Member, i int, server *http.Server) error {
	host := fmt.Sprintf("127.1.%d.%d", i/250, i%250+1)
	messages, err := listenAt(host)
	if err != nil {
		return err
	}
	attempts, err := listenAt(host)
	if err != nil {
		return errors.Join(err, messages.Close())
	}
	m.PeerAddress, m.ForwardAddress = messages.Addr().String(), attempts.Addr().String()
	var messenger *peer.Messenger
	messenger = peer.NewMessenger(*m, peer.MessengerSeams{
		Post:    func(body event.Body) { r.reply(messenger, *m, body) },
		Observe: func(effect.Effect) {},
	})
	r.running.Go(func() { _ = messenger.Serve(messages) })
	r.running.Go(func() { _ = server.Serve(attempts) })
	r.closers = append(r.closers, func() {
		_ = messages.Close()
		messenger.Close()
	})
	return nil
}

func listenAt(host string) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort(host, "0"))
}

// reply answers a message as the member that got it.
func (r *simulatedFleet) reply(messenger *peer.Messenger, m fleet.Member, body event.Body) {
	received, ok := body.(event.MessageReceived)
	if !ok {
		return
	}
	envelope := received.Envelope
	send := func(answer message.Message) {
		messenger.Send(effect.SendMessage{
			To: envelope.From, Address: envelope.Address, Message: answer, Incarnation: m.Incarnation, Revision: 0,
		})
	}
	switch asked := envelope.Message.(type) {
	case message.Ping:
		send(message.Ack{Sequence: asked.Sequence, Subject: m.Node})
	case message.SyncRequest:
		_, effects := r.syncMember.MessageReceived(time.Now(), envelope)
		for _, e := range effects {
			if answer, isSync := syncReply(e); isSync {
				send(answer)
			}
		}
	}
}

func syncReply(e effect.Effect) (message.SyncReply, bool) {
	sent, ok := e.(effect.SendMessage)
	if !ok {
		return message.SyncReply{}, false
	}
	answer, ok := sent.Message.(message.SyncReply)
	return answer, ok
}

// postSidecarEvent stands in for the reducers of the sidecars: each attempt runs at once.
func (r *simulatedFleet) postSidecarEvent(body event.Body) {
	switch body := body.(type) {
	case event.AdmissionRequested:
		r.attempts.Store(body.Attempt.ID, body.Attempt)
		r.sidecar.StartRun(effect.StartRun{Attempt: body.Attempt, Connections: targetConnections})
	case event.RunFinished:
		stored, ok := r.attempts.LoadAndDelete(body.Attempt)
		if !ok {
			return
		}
		attempt := stored.(fleet.Attempt)
		r.sidecar.AttachRunReport(effect.AttachRunReport{Attempt: attempt.ID, Report: fleet.TargetReport{
			Target: attempt.Target, Class: attempt.Class, P95: 2 * serviceTime, Load: fleet.Load{InFlight: 1, Slots: 4},
		}})
	}
}

// startPlatform starts the stand-in of the platform with the tables and the member records.
func (r *simulatedFleet) startPlatform(ctx context.Context) error {
	listener, err := listenAt("127.0.0.1")
	if err != nil {
		return err
	}
	server := labplatform.New(labplatform.Limits{}, time.Now)
	r.running.Go(func() { _ = server.Serve(ctx, listener) })
	r.closers = append(r.closers, func() { _ = listener.Close() })
	r.platformURL = "http://" + listener.Addr().String()
	r.platform = platform.New(platform.Seams{
		Store: platform.NewStore(r.platformURL, &http.Client{}), Post: func(event.Body) {},
	})
	r.closers = append(r.closers, r.platform.Close)
	if err := r.applyTables(ctx); err != nil {
		return err
	}
	for _, m := range r.others {
		r.platform.RegisterMember(effect.RegisterMember{Member: m})
	}
	r.platform.Wait()
	return nil
}

// applyTables writes the next revision, which differs from the last one in the deadline of every route.
func (r *simulatedFleet) applyTables(ctx context.Context) error {
	tables := r.size.tables()
	for i := range tables.Routes {
		tables.Routes[i].Deadline += time.Duration(r.revision) * time.Millisecond
	}
	next, err := r.platform.ApplyTables(ctx, tables, r.revision, fmt.Sprintf("whole-%d", r.revision+1))
	if err != nil {
		return err
	}
	r.revision = next
	return nil
}
