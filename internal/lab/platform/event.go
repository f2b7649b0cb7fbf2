package platform

import (
	"net/http"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// maxValue is the largest value in bytes, as the platform documents it.
const maxValue = 1_000_000

// operation is a kind of call.
type operation uint8

const (
	get operation = iota
	list
	put
	remove
)

// The statuses of a response are those of HTTP.
const (
	statusOK          = http.StatusOK
	statusNotModified = http.StatusNotModified
	statusNotFound    = http.StatusNotFound
	statusConflict    = http.StatusPreconditionFailed
	statusTooLarge    = http.StatusRequestEntityTooLarge
	statusLimited     = http.StatusTooManyRequests
	statusUnavailable = http.StatusServiceUnavailable
)

// event is one input of the reducer.
type event struct {
	at   time.Time
	body any
}

// called says that a call arrived.
type called struct {
	id        uint64
	operation operation
	// key is the prefix of a list.
	key      string
	value    []byte
	ifMatch  fleet.Option[uint64]
	ifAbsent bool
	// waits makes a get wait until the key's version is not after.
	waits bool
	after uint64
}

// waitEnded says that a call's time to wait is over or that its caller is gone.
type waitEnded struct{ id uint64 }

// faultsSet says that the faults were changed.
type faultsSet struct{ faults Faults }

// reply is the reducer's effect: the answer of one call.
type reply struct {
	id       uint64
	response response
	delay    time.Duration
	// lost closes the connection without a response.
	lost bool
}

type response struct {
	status  int
	version uint64
	value   []byte
	list    []entry
}

type entry struct {
	key     string
	version uint64
	value   []byte
}
