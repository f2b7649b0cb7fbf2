package recovery_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/edge/recovery"
)

// observer collects what a boundary reports.
type observer struct {
	mu    sync.Mutex
	now   time.Time
	lines []effect.WriteLog
	count int64
	// counted receives a value for each count.
	counted chan struct{}
}

func (o *observer) observe(e effect.Effect) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch e := e.(type) {
	case effect.WriteLog:
		o.lines = append(o.lines, e)
	case effect.AddToCounter:
		o.count += e.Delta
		o.counted <- struct{}{}
	}
}

func newBoundary() (*recovery.Boundary, *observer) {
	o := &observer{now: time.Unix(1, 0), counted: make(chan struct{}, 1000)}
	return recovery.New(recovery.Seams{Now: func() time.Time { return o.now }, Observe: o.observe}), o
}

func field(line effect.WriteLog, name string) string {
	for _, f := range line.Fields {
		if f.Name == name {
			return f.Value.(string)
		}
	}
	return ""
}

func failByIndex() {
	var empty []int
	_ = empty[len(empty)]
}

// TestPanicEndsItsTaskOnly guards against one unexpected error that ends the process, or that leaves no trace.
func TestPanicEndsItsTaskOnly(t *testing.T) {
	t.Run("on this goroutine", func(t *testing.T) {
		is := is.New(t)
		b, o := newBoundary()
		is.True(b.Do("good", func() {}))
		is.True(!b.Do("bad", failByIndex))
		is.Equal(o.count, int64(1))
		is.Equal(field(o.lines[0], "Task"), "bad")
		is.True(strings.Contains(field(o.lines[0], "Error"), "index out of range"))
		is.True(strings.Contains(field(o.lines[0], "Place"), "recovery_test.go:"))
		is.True(strings.Contains(field(o.lines[0], "Stack"), "failByIndex"))
	})
	t.Run("on a goroutine of its own", func(t *testing.T) {
		is := is.New(t)
		b, o := newBoundary()
		done := make(chan struct{})
		b.Go("bad", func() { panic("bad") }, func() { close(done) })
		<-done
		is.Equal(field(o.lines[0], "Error"), "bad")
	})
	t.Run("in a timer", func(t *testing.T) {
		b, o := newBoundary()
		b.Func("bad", func() { panic("bad") })()
		is.New(t).Equal(o.count, int64(1))
	})
	t.Run("in the function that follows", func(t *testing.T) {
		is := is.New(t)
		b, o := newBoundary()
		b.Go("bad", func() { panic("bad") }, func() { panic("worse") })
		<-o.counted
		<-o.counted
		is.Equal(o.count, int64(2))
	})
}

// TestPanicsAreLoggedOncePerPlace guards against a log that is full of one error.
func TestPanicsAreLoggedOncePerPlace(t *testing.T) {
	is := is.New(t)
	b, o := newBoundary()
	for range 100 {
		b.Do("bad", failByIndex)
		b.Do("other", func() { panic("other") })
	}
	is.Equal(len(o.lines), 2)
	is.Equal(o.count, int64(200))
	o.now = o.now.Add(11 * time.Second)
	b.Do("bad", failByIndex)
	is.Equal(len(o.lines), 3)
}

// TestNilBoundary guards against tests that pass although the code under test panics.
func TestNilBoundary(t *testing.T) {
	defer func() { is.New(t).True(recover() != nil) }()
	var b *recovery.Boundary
	b.Do("bad", failByIndex)
}
