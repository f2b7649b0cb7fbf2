package platform_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
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

// TestEpochIsReported guards against a node that doesn't notice that the platform has been restored from a copy: a new epoch is reported
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

// TestUnknownEpoch guards against calls that fail because the platform reports no epoch, as an older one does, or one that isn't a
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

// assertPool checks that the newest tables on the platform have one pool, of the given name.
func assertPool(t *testing.T, h harness, pool fleet.PoolName) {
	t.Helper()
	is := is.New(t)
	read, err := h.client.ReadTables(t.Context())
	is.NoErr(err)
	_, found := read.Pool(pool)
	is.True(found)
}

// TestConditionOfAnotherEpoch guards against a conditional write that takes effect although the platform has been restored from a copy and
// given the version out again, for other content.
func TestConditionOfAnotherEpoch(t *testing.T) {
	setUp := func(t *testing.T) (harness, platform.Store, platform.Object) {
		t.Helper()
		h := newHarness(t)
		h.putObject(t, "key", "one")
		store := platform.NewStore(h.baseURL, &http.Client{})
		found, err := store.Get(t.Context(), "key")
		is.New(t).NoErr(err)
		h.server.Restore(time.Hour)
		h.putObject(t, "key", "other")
		now, err := store.Get(t.Context(), "key")
		is.New(t).NoErr(err)
		is.New(t).Equal(now.Version, found.Version)
		return h, store, found
	}
	t.Run("put", func(t *testing.T) {
		_, store, found := setUp(t)
		_, err := store.Put(t.Context(), "key", []byte("two"), platform.IfUnchanged(found))
		is.New(t).True(errors.Is(err, platform.ErrConflict))
	})
	t.Run("delete", func(t *testing.T) {
		_, store, found := setUp(t)
		_, err := store.Delete(t.Context(), "key", platform.IfUnchanged(found))
		is.New(t).True(errors.Is(err, platform.ErrConflict))
	})
	t.Run("watch", func(t *testing.T) {
		is := is.New(t)
		_, store, found := setUp(t)
		from := fleet.Position{Epoch: found.Epoch, Version: found.Version}
		started := time.Now()
		changed, err := store.Watch(t.Context(), "key", from, 10*time.Second)
		is.NoErr(err)
		is.Equal(changed.Epoch, fleet.Epoch(2))
		is.True(time.Since(started) < 5*time.Second)
	})
	t.Run("change of the tables", func(t *testing.T) {
		is, h := is.New(t), newHarness(t)
		ctx := t.Context()
		_, err := h.client.ApplyTables(ctx, tablesWithPool("one"), 0, "c1")
		is.NoErr(err)
		_, err = h.client.ApplyTables(ctx, tablesWithPool("two"), 1, "c2")
		is.NoErr(err)
		// The writer has read the head when the platform is restored from a copy without its revision.
		h.server.Restore(time.Hour)
		_, err = h.client.ApplyTables(ctx, tablesWithPool("three"), 2, "c3")
		var conflict platform.RevisionConflict
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Found, fleet.Revision(0))
	})
}

// TestChangeDuringRestoration guards against a change of the tables that is reported as accepted and is incomplete, since the platform has
// lost its chunks, or that is refused although no other change was made.
func TestChangeDuringRestoration(t *testing.T) {
	is, h := is.New(t), newHarness(t)
	_, err := h.client.ApplyTables(t.Context(), tablesWithPool("one"), 0, "c1")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	copied := time.Now()
	writer := h.newClient(roundTripFunc(func(r *http.Request) (*http.Response, error) {
		if r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, platform.HeadKey) && r.Header.Get("If-Match") != "" && copied.Before(time.Now()) {
			h.server.Restore(time.Since(copied))
			copied = time.Now().Add(time.Hour)
		}
		return http.DefaultTransport.RoundTrip(r)
	}))
	defer writer.Close()
	_, err = writer.ApplyTables(t.Context(), tablesWithPool("two"), 1, "c2")
	is.NoErr(err)
	assertPool(t, h, "two")
}

// TestLostRevisionIsNotGivenOutAgain guards against nodes that keep a revision which the platform has lost, because the next change gets the
// same number.
func TestLostRevisionIsNotGivenOutAgain(t *testing.T) {
	is, h := is.New(t), newHarness(t)
	apply := func(pool fleet.PoolName, expected fleet.Revision) fleet.Revision {
		t.Helper()
		revision, err := h.client.ApplyTables(t.Context(), tablesWithPool(pool), expected, string(pool))
		is.NoErr(err)
		return revision
	}
	is.Equal(apply("one", 0), fleet.Revision(1))
	time.Sleep(20 * time.Millisecond)
	copied := time.Now()
	lost := apply("two", 1)
	h.server.Restore(time.Since(copied))
	first := apply("three", 1)
	is.True(first > lost)
	is.Equal(apply("four", first), first+1) // the only gap is that of the first change in an epoch
	h.server.Restore(time.Since(copied))    // the change before was the first one in its epoch
	is.True(apply("five", 1) > first+1)
	h.server.Restore(time.Hour)
	is.True(apply("six", 0) > 1) // the first revision was lost too
}

// TestRestoreTables guards against a lost revision that a node doesn't write again as it was, or writes over a newer one.
func TestRestoreTables(t *testing.T) {
	// lose returns a platform that has lost revision 2, and its content.
	lose := func(t *testing.T) (harness, []byte) {
		t.Helper()
		is, h := is.New(t), newHarness(t)
		_, err := h.client.ApplyTables(t.Context(), tablesWithPool("one"), 0, "c1")
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond)
		copied := time.Now()
		_, err = h.client.ApplyTables(t.Context(), tablesWithPool("two"), 1, "c2")
		is.NoErr(err)
		h.client.WatchHead(effect.WatchHead{})
		read, ok := h.nextEvent(t).(event.HeadRead)
		is.True(ok)
		h.client.FetchTables(effect.FetchTables{Head: read.Head})
		decoded, ok := h.nextEvent(t).(event.TablesDecoded)
		is.True(ok)
		h.server.Restore(time.Since(copied))
		assertPool(t, h, "one")
		return h, decoded.Content
	}
	restore := func(h harness, content []byte) {
		h.client.RestoreTables(effect.RestoreTables{Revision: 2, Content: content})
		h.client.Wait()
	}
	t.Run("the revision is written again, by one node", func(t *testing.T) {
		is := is.New(t)
		h, content := lose(t)
		restore(h, content)
		restore(h.otherProcess(t), content)
		assertPool(t, h, "two")
		read, err := h.client.ReadTables(t.Context())
		is.NoErr(err)
		is.Equal(read.Revision, fleet.Revision(2))
		is.Equal(len(h.events), 0)
		revision, err := h.client.ApplyTables(t.Context(), tablesWithPool("three"), 2, "c3")
		is.NoErr(err)
		is.True(revision > 3) // the platform may have lost revision 3 as well
	})
	t.Run("a newer revision stays", func(t *testing.T) {
		h, content := lose(t)
		_, err := h.client.ApplyTables(t.Context(), tablesWithPool("three"), 1, "c3")
		is.New(t).NoErr(err)
		restore(h, content)
		assertPool(t, h, "three")
	})
	t.Run("a failure is reported", func(t *testing.T) {
		is := is.New(t)
		h, content := lose(t)
		h.server.SetFaults(lab.Faults{Outage: true})
		restore(h, content)
		failed, ok := h.nextEvent(t).(event.PlatformCallFailed)
		is.True(ok)
		is.Equal(failed.Call, event.CallRestoreTables)
	})
}
