package platform_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/platform"
	lab "jayfold.dev/jayfold/internal/lab/platform"
)

// nextEpoch waits for the next event about an epoch.
func (h harness) nextEpoch(t *testing.T) event.EpochSeen {
	t.Helper()
	select {
	case seen := <-h.epochs:
		return seen
	case <-time.After(10 * time.Second):
		t.Fatal("no epoch was posted")
		return event.EpochSeen{}
	}
}

// TestEpochIsReported guards against a node that doesn't notice that the platform has come back from a copy: a new epoch is reported
// once, whatever call shows it first, and before the result of the call.
func TestEpochIsReported(t *testing.T) {
	for name, call := range map[string]func(harness){
		"watch":    func(h harness) { h.client.WatchHead(effect.WatchHead{}) },
		"list":     func(h harness) { h.client.ListMembers(effect.ListMembers{}) },
		"register": func(h harness) { h.client.RegisterMember(effect.RegisterMember{Member: fleet.Member{Node: "n1"}}) },
		"claim":    func(h harness) { h.client.ClaimOrder(effect.ClaimOrder{ClaimName: "o"}) },
		"failure": func(h harness) {
			h.server.SetFaults(lab.Faults{Outage: true})
			h.client.ListMembers(effect.ListMembers{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is, h := is.New(t), newHarness(t)
			call(h)
			h.nextEvent(t)
			is.Equal(h.nextEpoch(t).Epoch, fleet.Epoch(1))
			h.server.SetFaults(lab.Faults{})
			h.client.ListMembers(effect.ListMembers{})
			h.nextEvent(t)
			is.Equal(len(h.epochs), 0)
			h.server.Restore(0)
			call(h)
			is.Equal(h.nextEpoch(t).Epoch, fleet.Epoch(2))
		})
	}
}

// TestUnknownEpoch guards against calls that fail because the platform tells no epoch, as an older one does, or one that isn't a
// number.
func TestUnknownEpoch(t *testing.T) {
	for name, header := range map[string]string{"missing": "", "no number": "new", "too large": "99999999999999999999999"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if header != "" {
					w.Header().Set("Epoch", header)
				}
				w.Header().Set("ETag", `"7"`)
				_, _ = w.Write([]byte(`{}`))
			}))
			defer server.Close()
			found, err := platform.NewStore(server.URL, &http.Client{}).Get(t.Context(), platform.HeadKey)
			is.NoErr(err)
			is.Equal(found.Version, uint64(7))
			is.Equal(found.Epoch, fleet.Epoch(0))
		})
	}
}

// TestWatchOfAnotherEpoch guards against a watch that continues from a version of an earlier epoch and so misses the changes before
// it, and against two watches at a time.
func TestWatchOfAnotherEpoch(t *testing.T) {
	ctx := t.Context()
	newHarnessWithTables := func(t *testing.T) (harness, fleet.Position) {
		t.Helper()
		h := newHarness(t)
		_, err := h.client.ApplyTables(ctx, tablesWithPool("shop"), 0, "c1")
		is.New(t).NoErr(err)
		h.client.WatchHead(effect.WatchHead{})
		read, ok := h.nextEvent(t).(event.HeadRead)
		is.New(t).True(ok)
		return h, read.Position
	}
	t.Run("its result has no version to continue from", func(t *testing.T) {
		is := is.New(t)
		h, position := newHarnessWithTables(t)
		is.Equal(position.Epoch, fleet.Epoch(1))
		h.server.Restore(0)
		h.client.WatchHead(effect.WatchHead{From: position, Wait: 10 * time.Millisecond})
		is.Equal(h.nextEvent(t), event.HeadRead{Position: fleet.Position{Epoch: 2}})
	})
	t.Run("a watch that is replaced posts nothing", func(t *testing.T) {
		is := is.New(t)
		h, position := newHarnessWithTables(t)
		h.client.WatchHead(effect.WatchHead{From: position, Wait: time.Minute})
		h.client.WatchHead(effect.WatchHead{})
		read, ok := h.nextEvent(t).(event.HeadRead)
		is.True(ok)
		is.Equal(read.Head.Revision, fleet.Revision(1))
		h.client.Close()
		is.Equal(len(h.events), 0)
	})
}
