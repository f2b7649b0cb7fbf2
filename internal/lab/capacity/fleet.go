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

// simulatedFleet simulates a fleet around one real node: the platform, and the other members, each with its own loopback
// addresses for messages and for attempts.
type simulatedFleet struct {
	size fleetSize
	// self is the record of the measured node, whose actual addresses are in measuredNode. others are the records of the simulated
	// members.
	self   fleet.Member
	others []fleet.Member
	// syncResponder replies to sync requests in place of the simulated members; it knows the records of all of them.
	syncResponder membership.State

	platformURL string
	platform    *platform.Client
	revision    fleet.Revision

	sidecar        *peer.Sidecar
	attempts       sync.Map // running attempts: fleet.Attempt by fleet.AttemptID
	servedRequests atomic.Int64
	servedAttempts atomic.Int64

	closers []func()
	running sync.WaitGroup
}

func newSimulatedFleet(ctx context.Context, size fleetSize) (*simulatedFleet, error) {
	records := size.memberRecords()
	s := &simulatedFleet{size: size, self: records[0], others: records[1:]}
	s.sidecar = peer.NewSidecar(peer.SidecarSeams{
		Now: time.Now, Post: s.postSidecarEvent, Run: runAttempt,
		Crashed: func(context.Context, string) bool { return false },
	})
	server := peer.NewForwardServer(s.sidecar)
	s.closers = append(s.closers, func() { _ = server.Close() })
	for i := range s.others {
		if err := s.startMember(&s.others[i], i, server); err != nil {
			s.stop()
			return nil, err
		}
	}
	s.syncResponder, _ = membership.New(s.others[0]).MessageReceived(time.Now(), message.Envelope{
		From: s.others[1].Node, Incarnation: s.others[1].Incarnation, Message: message.SyncReply{Members: s.others},
	})
	if err := s.startPlatform(ctx); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// stop closes all servers and connections of the simulated fleet.
func (s *simulatedFleet) stop() {
	for _, closeOne := range s.closers {
		closeOne()
	}
	s.running.Wait()
}

// startMember starts the listeners of a simulated member for messages and for attempts. Each member has its own addresses, so
// that the measured node opens as many connections as in a real fleet.
func (s *simulatedFleet) startMember(m *fleet.Member, i int, server *http.Server) error {
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
		Post:    func(body event.Body) { s.reply(messenger, *m, body) },
		Observe: func(effect.Effect) {},
	})
	s.running.Go(func() { _ = messenger.Serve(messages) })
	s.running.Go(func() { _ = server.Serve(attempts) })
	s.closers = append(s.closers, func() {
		_ = messages.Close()
		messenger.Close()
	})
	return nil
}

func listenAt(host string) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort(host, "0"))
}

// reply replies to pings and sync requests in place of member m, which received them.
func (s *simulatedFleet) reply(messenger *peer.Messenger, m fleet.Member, body event.Body) {
	received, ok := body.(event.MessageReceived)
	if !ok {
		return
	}
	envelope := received.Envelope
	send := func(reply message.Message) {
		messenger.Send(effect.SendMessage{
			To: envelope.From, Address: envelope.Address, Message: reply, Incarnation: m.Incarnation, Revision: 0,
		})
	}
	switch request := envelope.Message.(type) {
	case message.Ping:
		send(message.Ack{Sequence: request.Sequence, Subject: m.Node})
	case message.SyncRequest:
		_, effects := s.syncResponder.MessageReceived(time.Now(), envelope)
		for _, e := range effects {
			if reply, isSync := syncReply(e); isSync {
				send(reply)
			}
		}
	}
}

func syncReply(e effect.Effect) (message.SyncReply, bool) {
	sent, ok := e.(effect.SendMessage)
	if !ok {
		return message.SyncReply{}, false
	}
	reply, ok := sent.Message.(message.SyncReply)
	return reply, ok
}

// postSidecarEvent handles events in place of the reducers of the sidecars: it starts each attempt at once and attaches a report
// to each finished run.
func (s *simulatedFleet) postSidecarEvent(body event.Body) {
	switch body := body.(type) {
	case event.AdmissionRequested:
		s.attempts.Store(body.Attempt.ID, body.Attempt)
		s.sidecar.StartRun(effect.StartRun{Attempt: body.Attempt, Connections: targetConnections})
	case event.RunFinished:
		stored, ok := s.attempts.LoadAndDelete(body.Attempt)
		if !ok {
			return
		}
		attempt := stored.(fleet.Attempt)
		s.sidecar.AttachRunReport(effect.AttachRunReport{Attempt: attempt.ID, Report: fleet.TargetReport{
			Target: attempt.Target, Class: attempt.Class, P95: 2 * serviceTime, Load: fleet.Load{InFlight: 1, Slots: 4},
		}})
	}
}

// startPlatform starts the stand-in for the platform and stores the tables and the records of the simulated members in it.
func (s *simulatedFleet) startPlatform(ctx context.Context) error {
	listener, err := listenAt("127.0.0.1")
	if err != nil {
		return err
	}
	server := labplatform.New(labplatform.Limits{}, time.Now)
	s.running.Go(func() { _ = server.Serve(ctx, listener) })
	s.closers = append(s.closers, func() { _ = listener.Close() })
	s.platformURL = "http://" + listener.Addr().String()
	s.platform = platform.New(platform.Seams{
		Store: platform.NewStore(s.platformURL, &http.Client{}), Post: func(event.Body) {},
	})
	s.closers = append(s.closers, s.platform.Close)
	if err := s.applyTables(ctx); err != nil {
		return err
	}
	for _, m := range s.others {
		s.platform.RegisterMember(effect.RegisterMember{Member: m})
	}
	s.platform.Wait()
	return nil
}

// applyTables applies a new revision of the tables, in which every route has another deadline.
func (s *simulatedFleet) applyTables(ctx context.Context) error {
	tables := s.size.tables()
	for i := range tables.Routes {
		tables.Routes[i].Deadline += time.Duration(s.revision) * time.Millisecond
	}
	next, err := s.platform.ApplyTables(ctx, tables, s.revision, fmt.Sprintf("whole-%d", s.revision+1))
	if err != nil {
		return err
	}
	s.revision = next
	return nil
}
