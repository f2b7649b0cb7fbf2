package target

import "time"

// event is an input of the reducer.
type event struct {
	at     time.Time
	random uint64
	body   any
}

// The events.
type (
	// requestArrived is posted when a request has been read. content is its path and body.
	requestArrived struct {
		number                  uint64
		request, token, content string
	}
	// serviceEnded is posted when the service time of a request is over.
	serviceEnded struct {
		number uint64
		status int
	}
	// requestEnded is posted when a request has been responded to or its caller has disconnected.
	requestEnded struct{ number uint64 }
	// faultsSet is posted when the faults are replaced.
	faultsSet struct{ faults Faults }
)

// effect is an action that the reducer requests.
type effect interface{ isEffect() }

// The effects. One with a request number is executed by the goroutine that serves that request.
type (
	// serve runs a request for the duration. If failed is true, the response is a server error.
	serve struct {
		number   uint64
		duration time.Duration
		failed   bool
	}
	// recordStart writes the start of a request to a ledger outside the process before the request is served.
	recordStart struct{ token string }
	// shed refuses a request without running it.
	shed struct{ number uint64 }
	// respond sends the response of a request.
	respond struct {
		number uint64
		status int
	}
	// crash terminates the process immediately.
	crash struct{}
)

func (serve) isEffect()       {}
func (recordStart) isEffect() {}
func (shed) isEffect()        {}
func (respond) isEffect()     {}
func (crash) isEffect()       {}
