// Package recovery keeps an unexpected error in one task from ending the process and all the requests that it serves.
//
// # Usage
//
//	boundary := recovery.New(recovery.Seams{Now: time.Now, Observe: op.Observe})
//	boundary.Go("peer: send messages", sender.run, nil) // on a goroutine of its own
//	ok := boundary.Do("control: tick", step)            // on this goroutine
//	timer := time.AfterFunc(d, boundary.Func("peer: idle", close))
//
// A panic in a task ends that task only. It is counted in panics_recovered and logged with the task, the place and the start of the
// stack. Whoever waits for the result of a task learns of its end from the return value of Do or the last argument of Go. Errors
// that the runtime doesn't pass on as panics, such as a stack overflow, still end the process.
package recovery

import (
	"fmt"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
)

const (
	// logInterval is the time between two log lines about panics at the same place. A panic at every event would fill the log.
	logInterval = 10 * time.Second
	// maxPlaces bounds the places that are remembered. All are forgotten when it is reached.
	maxPlaces = 64
	// maxStackBytes bounds the stack in a log line.
	maxStackBytes = 2 << 10
)

// Seams are the external dependencies of a Boundary.
type Seams struct {
	Now func() time.Time
	// Observe executes effect.WriteLog and effect.AddToCounter. It must not block.
	Observe func(effect.Effect)
}

// Boundary runs tasks whose panics it recovers. A nil Boundary runs them without recovery, so that tests of the tasks see panics.
type Boundary struct {
	seams Seams
	mu    sync.Mutex
	// logged has the time of the last log line by place.
	logged map[string]time.Time
}

// New returns a Boundary.
func New(seams Seams) *Boundary {
	return &Boundary{seams: seams, logged: make(map[string]time.Time)}
}

// Do runs a task on this goroutine. It returns false if the task has panicked.
func (b *Boundary) Do(task string, run func()) bool { return b.do(run, func() string { return task }) }

// DoOn runs a task that is named for the type of a value, such as an event. The name is built only after a panic.
func (b *Boundary) DoOn(value any, run func()) bool {
	return b.do(run, func() string { return fmt.Sprintf("%T", value) })
}

func (b *Boundary) do(run func(), name func() string) (ok bool) {
	if b == nil {
		run()
		return true
	}
	defer func() {
		if cause := recover(); cause != nil {
			b.report(name(), cause, string(debug.Stack()))
			ok = false
		}
	}()
	run()
	return true
}

// Go runs a task on a goroutine of its own. It then calls recovered if the task has panicked; recovered may be nil.
func (b *Boundary) Go(task string, run func(), recovered func()) {
	go func() {
		if !b.Do(task, run) && recovered != nil {
			b.Do(task, recovered)
		}
	}()
}

// Func returns a function that runs a task, for timers.
func (b *Boundary) Func(task string, run func()) func() {
	return func() { b.Do(task, run) }
}

// report counts a panic and logs it unless one at the same place was logged a short time ago.
func (b *Boundary) report(task string, cause any, stack string) {
	b.seams.Observe(effect.AddToCounter{Name: "panics_recovered", Labels: []effect.Label{{Name: "task", Value: task}}, Delta: 1})
	place := placeOf(stack)
	if !b.mayLog(place) {
		return
	}
	b.seams.Observe(effect.WriteLog{
		Level: effect.Error, Component: "process", Message: "unexpected error in a task",
		Fields: []effect.LogField{
			{Name: "Task", Value: task},
			{Name: "Error", Value: fmt.Sprint(cause)},
			{Name: "Place", Value: place},
			{Name: "Stack", Value: stack[:min(len(stack), maxStackBytes)]},
		},
	})
}

// mayLog reports whether a panic at a place may be logged now.
func (b *Boundary) mayLog(place string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.seams.Now()
	if last, ok := b.logged[place]; ok && now.Sub(last) < logInterval {
		return false
	}
	if len(b.logged) >= maxPlaces {
		clear(b.logged)
	}
	b.logged[place] = now
	return true
}

// placeOf returns the file and line of the panic: the first frame of the stack below the panic itself.
func placeOf(stack string) string {
	_, below, found := strings.Cut(stack, "\npanic(")
	if !found {
		return "unknown"
	}
	for _, line := range strings.Split(below, "\n") {
		file, isFile := strings.CutPrefix(line, "\t")
		if !isFile || strings.Contains(file, "/runtime/") {
			continue
		}
		place, _, _ := strings.Cut(file, " ")
		return place
	}
	return "unknown"
}
