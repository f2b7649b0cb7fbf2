package node

import (
	"context"
	"sync/atomic"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/caller"
	"jayfold.dev/jayfold/internal/edge/operator"
	"jayfold.dev/jayfold/internal/edge/peer"
	"jayfold.dev/jayfold/internal/edge/platform"
	"jayfold.dev/jayfold/internal/edge/recovery"
	"jayfold.dev/jayfold/internal/edge/target"
)

// dispatcher passes each effect to the edge that executes it. dispatch never blocks: what takes longer runs on its own goroutine.
type dispatcher struct {
	callers   *caller.Server
	sidecar   *peer.Sidecar
	messenger *peer.Messenger
	targets   *target.Server
	platform  *platform.Client
	operator  *operator.Operator
	log       *levelFilter
	post      func(event.Body)
	recovery  *recovery.Boundary
	tables    atomic.Pointer[fleet.Tables]
	stopped   chan struct{}
}

func newDispatcher() *dispatcher {
	return &dispatcher{stopped: make(chan struct{})}
}

func (d *dispatcher) dispatch(e effect.Effect) {
	switch e := e.(type) {
	case effect.SetTables:
		d.tables.Store(&e.Tables)
		d.callers.SetTablesLimits(e.Tables.Limits)
	case effect.SetSettings:
		d.callers.SetDefaultLimits(e.Settings.Limits)
		d.callers.SetMemory(e.Settings.CallerMemory)
		setMemoryLimit(e.Settings.ProcessMemory)
		d.log.setLevel(e.Settings.LogLevel)
	case effect.SetReadiness:
		d.callers.SetReadiness(e)
	case effect.DrainCallers:
		d.recovery.Go("drain callers", d.drainCallers, nil)
	case effect.StopProcess:
		close(d.stopped)
	case effect.SendMessage:
		d.messenger.Send(e)
	case effect.ReplyStatus:
		d.operator.ReplyStatus(e)
	case effect.AcknowledgeTarget:
		d.targets.AcknowledgeTarget(e)
	case effect.WriteLog, effect.AddToCounter, effect.RecordRequest, effect.RecordAttempt, effect.RecordPlacement:
		d.operator.Observe(e)
	default:
		d.dispatchTraffic(e)
	}
}

func (d *dispatcher) dispatchTraffic(e effect.Effect) {
	switch e := e.(type) {
	case effect.ForwardAttempt:
		d.callers.ForwardAttempt(e)
	case effect.RelayResponse:
		d.callers.RelayResponse(e)
	case effect.RefuseRequest:
		d.callers.RefuseRequest(e)
	case effect.CancelAttempt:
		d.callers.CancelAttempt(e)
	case effect.StartRun:
		d.sidecar.StartRun(e)
	case effect.RefuseAttempt:
		d.sidecar.RefuseAttempt(e)
	case effect.CancelRun:
		d.sidecar.CancelRun(e)
	case effect.AttachRunReport:
		d.sidecar.AttachRunReport(e)
	case effect.ReplayResponse:
		d.sidecar.ReplayResponse(e)
	default:
		d.dispatchPlatform(e)
	}
}

func (d *dispatcher) dispatchPlatform(e effect.Effect) {
	switch e := e.(type) {
	case effect.WatchHead:
		d.platform.WatchHead(e)
	case effect.FetchTables:
		d.platform.FetchTables(e)
	case effect.DecodeTables:
		d.recovery.Go("decode tables", func() { decodeTables(e, d.post) }, func() {
			d.post(event.TablesRejected{Revision: e.Revision, Detail: "decoding failed with an internal error"})
		})
	case effect.RestoreTables:
		d.platform.RestoreTables(e)
	case effect.ListMembers:
		d.platform.ListMembers(e)
	case effect.ClaimOrder:
		d.platform.ClaimOrder(e)
	case effect.ReleaseOrderClaim:
		d.platform.ReleaseOrderClaim(e)
	case effect.RegisterMember:
		d.platform.RegisterMember(e)
	}
}

// callerDrainTimeout exceeds the sum of a route's longest deadline, 60 s, and the time during which a leaving node still
// accepts requests.
const callerDrainTimeout = 75 * time.Second

// drainCallers closes the callers' listener and waits for the requests in flight, whose duration is bounded by their deadlines.
func (d *dispatcher) drainCallers() {
	ctx, cancel := context.WithTimeout(context.Background(), callerDrainTimeout)
	defer cancel()
	_ = d.callers.Shutdown(ctx)
	d.post(event.CallersDrained{})
}

// knownPool reports whether the tables in force contain a pool. It returns true for every name while the node has no tables.
func (d *dispatcher) knownPool(name fleet.PoolName) bool {
	tables := d.tables.Load()
	if tables == nil {
		return true
	}
	_, ok := tables.Pool(name)
	return ok
}
