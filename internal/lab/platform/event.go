package platform

import (
	"net/http"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// maxValueBytes is the documented limit of the platform for the size of a value.
const maxValueBytes = 1_000_000

// operation is the operation of an API call.
type operation uint8

const (
	get operation = iota
	list
	put
	remove
)

// The status codes of a response are those of HTTP.
const (
	statusOK                 = http.StatusOK
	statusNotModified        = http.StatusNotModified
	statusNotFound           = http.StatusNotFound
	statusPreconditionFailed = http.StatusPreconditionFailed
	statusTooLarge           = http.StatusRequestEntityTooLarge
	statusRateLimited        = http.StatusTooManyRequests
	statusUnavailable        = http.StatusServiceUnavailable
)

// event is an input of the reducer.
type event struct {
	at   time.Time
	body any
}

// callArrived is posted when an API call has been read.
type callArrived struct {
	id        uint64
	operation operation
	// key is the key of the object, or the prefix for a list.
	key      string
	value    []byte
	ifMatch  fleet.Option[uint64]
	ifAbsent bool
	// isWatch is true if a get waits until the version of the object differs from after.
	isWatch bool
	after   uint64
	// epoch is the epoch of ifMatch or after; 0 is any.
	epoch uint64
}

// waitEnded is posted when the wait of a watch has timed out, or when a call has ended or its caller has disconnected.
type waitEnded struct{ id uint64 }

// faultsSet is posted when the faults are replaced.
type faultsSet struct{ faults Faults }

// restored is posted when the data is replaced by a copy.
type restored struct{ age time.Duration }

// result is the effect of the reducer: it ends an API call.
type result struct {
	id       uint64
	response response
	delay    time.Duration
	// lost is true if the connection is closed without a response.
	lost bool
}

type response struct {
	status  int
	epoch   uint64
	version uint64
	value   []byte
	list    []listEntry
}

type listEntry struct {
	key     string
	version uint64
	value   []byte
}
