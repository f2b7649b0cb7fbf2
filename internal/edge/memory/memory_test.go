package memory

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBudget guards against a budget that is exceeded, that is not returned, or that large requests take from small ones.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := New(1<<20, nil)
	large, small := b.Open(func() {}), b.Open(func() {})
	is.True(!large.Take(1 << 20)) // a quarter is reserved
	is.True(large.Take(3 << 18))
	is.True(!large.Take(1)) // a connection that holds much has no part in the reserve
	is.True(small.Take(smallBytes))
	is.Equal(b.Used(), int64(3<<18+smallBytes))
	large.Return(3 << 18)
	small.Return(smallBytes)
	is.Equal(b.Used(), int64(0))
	b.SetLimit(0)
	is.True(large.Take(1 << 30)) // no bound
}

// TestEviction guards against the eviction of a connection that makes progress instead of one that holds memory without progress.
func TestEviction(t *testing.T) {
	is := is.New(t)
	b := New(1<<20, nil)
	closed := make(chan string, 3)
	stalled := b.Open(func() { closed <- "stalled" })
	busy := b.Open(func() { closed <- "busy" })
	idle := b.Open(func() { closed <- "idle" })
	is.True(stalled.Take(300 << 10))
	is.True(busy.Take(400 << 10))
	is.True(idle.Take(8 << 10))
	now := time.Now()
	stalled.progress.Store(now.Add(-time.Minute).UnixNano())
	idle.progress.Store(now.Add(-time.Hour).UnixNano())
	is.True(!busy.Take(200 << 10))
	is.Equal(<-closed, "stalled")
}

// TestEvictionDuringWork guards against the eviction of a connection whose request runs at a target, in place of those that use up the memory.
func TestEvictionDuringWork(t *testing.T) {
	now := time.Now()
	open := func(held int64, age time.Duration, working bool) *Holder {
		h := New(1<<20, nil).Open(func() {})
		h.held.Store(held)
		h.progress.Store(now.Add(-age).UnixNano())
		if working {
			h.StartWork()
		}
		return h
	}
	t.Run("one that holds little is kept", func(t *testing.T) {
		is.New(t).Equal(open(35<<10, time.Minute, true).evictionCost(now), 0.0)
	})
	t.Run("one that holds much counts as if it had just made progress", func(t *testing.T) {
		is := is.New(t)
		is.Equal(open(1<<20, time.Minute, true).evictionCost(now), open(1<<20, 0, false).evictionCost(now))
		is.True(open(1<<20, time.Minute, true).evictionCost(now) < open(100<<10, time.Second, false).evictionCost(now))
	})
	t.Run("after the work the caller's time counts from its end", func(t *testing.T) {
		is := is.New(t)
		h := open(35<<10, time.Minute, true)
		h.EndWork()
		is.True(h.evictionCost(time.Now()) > 0)
		is.True(h.evictionCost(time.Now()) < open(35<<10, time.Second, false).evictionCost(now))
	})
}

// TestSystemLimit guards against a limit that is not found in one of the places where systems keep it.
func TestSystemLimit(t *testing.T) {
	for name, c := range map[string]struct {
		files map[string]string
		want  int64
	}{
		"none":    {nil, 0},
		"machine": {map[string]string{"/proc/meminfo": "MemFree: 1 kB\nMemTotal:  184 kB\n"}, 184 << 10},
		"version 2": {map[string]string{
			"/proc/self/cgroup": "0::/a/b\n", "/sys/fs/cgroup/a/b/memory.max": "max\n", "/sys/fs/cgroup/a/memory.max": "4096\n",
			"/proc/meminfo": "MemTotal: 184 kB\n",
		}, 4096},
		"version 1 in a container": {map[string]string{
			"/proc/self/cgroup": "4:memory:/x\n1:cpu:/y\n", "/sys/fs/cgroup/memory/memory.limit_in_bytes": "8192\n",
		}, 8192},
	} {
		t.Run(name, func(t *testing.T) {
			got := systemLimit(func(name string) ([]byte, error) {
				if content, ok := c.files[name]; ok {
					return []byte(content), nil
				}
				return nil, os.ErrNotExist
			})
			is.New(t).Equal(got, c.want)
		})
	}
}
