package target

import (
	"sync"
	"time"
)

// ackTimeout bounds the wait for effect.AcknowledgeTarget. It exceeds the time after which the reducer refuses a call.
const ackTimeout = time.Second

// pendingAcks holds the calls of targets that wait for an acknowledgement.
type pendingAcks struct {
	mu     sync.Mutex
	lastID uint64
	// accepted holds the channel of each pending call. The channels are buffered, so that complete does not block.
	accepted map[uint64]chan bool
}

func newPendingAcks() *pendingAcks { return &pendingAcks{accepted: make(map[uint64]chan bool)} }

// add returns the id of a new call and the channel for its result.
func (p *pendingAcks) add() (uint64, <-chan bool) {
	accepted := make(chan bool, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	p.accepted[p.lastID] = accepted
	return p.lastID, accepted
}

// complete sends the result of a call, unless the call has ended.
func (p *pendingAcks) complete(id uint64, accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case p.accepted[id] <- accepted:
	default:
	}
}

func (p *pendingAcks) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.accepted, id)
}
