package target

import "time"

// event is something that happened to the stand-in.
type event struct {
	at     time.Time
	random uint64
	body   any
}

// The events.
type (
	// requestArrived says that a request was read; content is its path and body.
	requestArrived struct {
		number                  uint64
		request, token, content string
	}
	// serviceEnded says that a request's service time is over.
	serviceEnded struct {
		number uint64
		status int
	}
	// requestLeft says that a request was answered or its caller went away.
	requestLeft struct{ number uint64 }
	// faultsSet replaces the faults.
	faultsSet struct{ faults Faults }
)

// effect is something that the stand-in does.
type effect interface{ isEffect() }

// The effects. Those with a number are for the goroutine that serves the request of that number.
type (
	// serve lets a request run for a time; failed means that it then answers with a server error.
	serve struct {
		number uint64
		takes  time.Duration
		failed bool
	}
	// record writes the start of a request outside of the process, before it is served.
	record struct{ token string }
	// shed answers a request without running it.
	shed struct{ number uint64 }
	// answer ends a request.
	answer struct {
		number uint64
		status int
	}
	// crash ends the process at once.
	crash struct{}
)

func (serve) isEffect()  {}
func (record) isEffect() {}
func (shed) isEffect()   {}
func (answer) isEffect() {}
func (crash) isEffect()  {}
