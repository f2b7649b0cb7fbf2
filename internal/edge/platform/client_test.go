package platform_test

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net"
	"net/http"
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

// harness is a client with the stand-in that it calls.
type harness struct {
	server  *lab.Server
	baseURL string
	client  *platform.Client
	events  chan event.Body
	logged  chan effect.Effect
}

func newHarness(t *testing.T) harness {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := harness{
		server:  lab.New(lab.Limits{}, time.Now),
		baseURL: "http://" + listener.Addr().String(),
		events:  make(chan event.Body, 16),
		logged:  make(chan effect.Effect, 16),
	}
	ended := make(chan error, 1)
	go func() { ended <- w.server.Serve(ctx, listener) }()
	w.client = w.newClient(http.DefaultTransport)
	t.Cleanup(func() {
		w.client.Close()
		cancel()
		is.New(t).NoErr(<-ended)
	})
	return w
}

// otherProcess returns a client of another process on the same platform.
func (w harness) otherProcess(t *testing.T) harness {
	t.Helper()
	w.client = w.newClient(http.DefaultTransport)
	t.Cleanup(w.client.Close)
	return w
}

// roundTripFunc is a seam for the connection to the platform.
type roundTripFunc func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (tr roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return tr(r) }

func (w harness) newClient(tr http.RoundTripper) *platform.Client {
	return platform.New(platform.Settings{
		Store:   platform.NewStore(w.baseURL, &http.Client{Transport: tr}),
		Post:    func(body event.Body) { w.events <- body },
		Observe: func(e effect.Effect) { w.logged <- e },
	})
}

// countObjects returns the number of objects on the stand-in whose keys begin with prefix.
func (w harness) countObjects(t *testing.T, prefix string) int {
	t.Helper()
	res, err := http.Get(w.baseURL + "/v1/objects?prefix=" + prefix)
	is.New(t).NoErr(err)
	defer func() { is.New(t).NoErr(res.Body.Close()) }()
	var listed struct{ Objects []struct{ Key string } }
	is.New(t).NoErr(json.NewDecoder(res.Body).Decode(&listed))
	return len(listed.Objects)
}

// nextEvent returns the nextEvent event.
func (w harness) nextEvent(t *testing.T) event.Body {
	t.Helper()
	select {
	case body := <-w.events:
		return body
	case <-time.After(10 * time.Second):
		t.Fatal("no event came")
		return nil
	}
}

func tablesWithPool(pool fleet.PoolName) fleet.Tables {
	return fleet.Tables{
		Routes: []fleet.Route{{Name: "all", PathPrefix: "/", Pool: pool, Deadline: time.Second}},
		Pools: fleet.Map[fleet.PoolName, fleet.Pool]{}.With(pool, fleet.Pool{
			Name: pool, Service: "catalogue", Floor: 4, FalseEjectionInterval: 24 * time.Hour,
		}),
	}
}

// putObject writes a raw value to the stand-in.
func (w harness) putObject(t *testing.T, key, value string) {
	t.Helper()
	assert := is.New(t)
	req, err := http.NewRequest(http.MethodPut, w.baseURL+"/v1/objects/"+key, strings.NewReader(value))
	assert.NoErr(err)
	res, err := http.DefaultClient.Do(req)
	assert.NoErr(err)
	assert.NoErr(res.Body.Close())
	assert.Equal(res.StatusCode, http.StatusOK)
}

// assertRevision checks which pool the newest revision has.
func assertRevision(t *testing.T, w harness, revision fleet.Revision, pool fleet.PoolName) {
	t.Helper()
	assert := is.New(t)
	found, err := w.client.ReadTables(t.Context())
	assert.NoErr(err)
	assert.Equal(found.Revision, revision)
	_, ok := found.Pool(pool)
	assert.True(ok)
}

func TestApply(t *testing.T) {
	t.Run("a revision comes back as it was applied", func(t *testing.T) {
		w := newHarness(t)
		revision, err := w.client.ApplyTables(t.Context(), tablesWithPool("a"), 0, "change-1")
		is.New(t).NoErr(err)
		is.New(t).Equal(revision, fleet.Revision(1))
		assertRevision(t, w, 1, "a")
	})

	t.Run("of two racing operators exactly one wins and the other is told", func(t *testing.T) {
		w := newHarness(t)
		results := make(chan error, 2)
		for _, pool := range []fleet.PoolName{"a", "b"} {
			go func() {
				_, err := w.client.ApplyTables(context.Background(), tablesWithPool(pool), 0, "change-"+string(pool))
				results <- err
			}()
		}
		var conflict platform.RevisionConflict
		first, second := <-results, <-results
		is.New(t).True((first == nil) != (second == nil))
		is.New(t).True(errors.As(errors.Join(first, second), &conflict))
		is.New(t).Equal(conflict, platform.RevisionConflict{Expected: 0, Found: 1})
	})

	t.Run("a write whose response is lost is not repeated and not reported as a conflict", func(t *testing.T) {
		w := newHarness(t)
		w.server.SetFaults(lab.Faults{LoseResponses: 2})
		revision, err := w.client.ApplyTables(t.Context(), tablesWithPool("a"), 0, "change-1")
		is.New(t).NoErr(err)
		is.New(t).Equal(revision, fleet.Revision(1))
		is.New(t).Equal(w.server.Counters().Lost, 2)
		assertRevision(t, w, 1, "a")
	})

	t.Run("a change whose response is lost and that was followed by another is known to have taken effect", func(t *testing.T) {
		w := newHarness(t)
		interfered := false
		client := w.newClient(roundTripFunc(func(r *http.Request) (*http.Response, error) {
			res, err := http.DefaultTransport.RoundTrip(r)
			if err != nil || interfered || r.Method != http.MethodPut || r.URL.Path != "/v1/objects/tables/head" {
				return res, err
			}
			interfered = true
			is.New(t).NoErr(res.Body.Close())
			_, err = w.client.ApplyTables(t.Context(), tablesWithPool("b"), 1, "change-2")
			is.New(t).NoErr(err)
			return nil, errors.New("the response was lost")
		}))
		revision, err := client.ApplyTables(t.Context(), tablesWithPool("a"), 0, "change-1")
		is.New(t).NoErr(err)
		is.New(t).Equal(revision, fleet.Revision(1))
		assertRevision(t, w, 2, "b")
	})

	t.Run("chunks of older revisions do not pile up", func(t *testing.T) {
		w := newHarness(t)
		for i := range fleet.Revision(6) {
			_, err := w.client.ApplyTables(t.Context(), tablesWithPool(fleet.PoolName("pool-"+string('a'+rune(i)))), i, rand.Text())
			is.New(t).NoErr(err)
		}
		assertRevision(t, w, 6, "pool-f")
		is.New(t).Equal(w.countObjects(t, "tables/chunk/"), 2) // the newest revision and the one before, for readers under way
	})

	t.Run("an outage fails the change and leaves the tables as they were", func(t *testing.T) {
		w := newHarness(t)
		_, err := w.client.ApplyTables(t.Context(), tablesWithPool("a"), 0, "change-1")
		is.New(t).NoErr(err)
		w.server.SetFaults(lab.Faults{Outage: true})
		_, err = w.client.ApplyTables(t.Context(), tablesWithPool("b"), 1, "change-2")
		var failure platform.CallError
		is.New(t).True(errors.As(err, &failure))
		w.server.SetFaults(lab.Faults{})
		assertRevision(t, w, 1, "a")
	})
}

func TestEffects(t *testing.T) {
	t.Run("a waiting watch tells of a change, and the change is fetched", func(t *testing.T) {
		w := newHarness(t)
		w.client.WatchHead(effect.WatchHead{Wait: 30 * time.Second})
		_, err := w.client.ApplyTables(t.Context(), tablesWithPool("a"), 0, "change-1")
		is.New(t).NoErr(err)
		read, ok := w.nextEvent(t).(event.HeadRead)
		is.New(t).True(ok)
		is.New(t).Equal(read.Head.Revision, fleet.Revision(1))
		w.client.FetchTables(effect.FetchTables{Head: read.Head})
		decoded, ok := w.nextEvent(t).(event.TablesDecoded)
		is.New(t).True(ok)
		is.New(t).Equal(decoded.Tables.Revision, fleet.Revision(1))
	})

	t.Run("an outage ends a waiting watch with an event", func(t *testing.T) {
		w := newHarness(t)
		w.client.WatchHead(effect.WatchHead{Wait: 30 * time.Second})
		for w.server.Counters().Watches == 0 {
			time.Sleep(time.Millisecond)
		}
		w.server.SetFaults(lab.Faults{Outage: true})
		failed, ok := w.nextEvent(t).(event.PlatformCallFailed)
		is.New(t).True(ok)
		is.New(t).Equal(failed.Call, event.CallWatchHead)
	})

	t.Run("a watch on a connection that has gone silent ends with an event", func(t *testing.T) {
		w := newHarness(t)
		w.server.SetFaults(lab.Faults{Silent: true})
		w.client.WatchHead(effect.WatchHead{Wait: time.Millisecond})
		failed, ok := w.nextEvent(t).(event.PlatformCallFailed)
		is.New(t).True(ok)
		is.New(t).Equal(failed.Call, event.CallWatchHead)
	})

	t.Run("a head that does not decode is reported", func(t *testing.T) {
		w := newHarness(t)
		w.putObject(t, "tables/head", `{"Revision":`)
		w.client.WatchHead(effect.WatchHead{Wait: 30 * time.Second})
		failed, ok := w.nextEvent(t).(event.PlatformCallFailed)
		is.New(t).True(ok)
		is.New(t).Equal(failed.Call, event.CallWatchHead)
	})

	t.Run("a record that a newer one overtook is not written", func(t *testing.T) {
		w := newHarness(t)
		member := fleet.Member{Node: "n1", Incarnation: 3, Sequence: 7}
		w.client.RegisterMember(effect.RegisterMember{Member: member, Delay: 20 * time.Millisecond})
		w.client.RegisterMember(effect.RegisterMember{Member: member.WithTargets(nil)})
		w.client.Wait()
		w.client.ListMembers(effect.ListMembers{})
		is.New(t).Equal(w.nextEvent(t), event.MembersListed{Members: []fleet.Member{member.WithTargets(nil)}})
	})

	t.Run("a member record that does not decode does not hide the others", func(t *testing.T) {
		w := newHarness(t)
		member := fleet.Member{Node: "n1", PeerAddress: "127.0.0.1:1", Incarnation: 3, Targets: []fleet.Target{
			{ID: "n1/t1", Pool: "a", Slots: 4},
		}, Tombstones: []fleet.Tombstone{{Target: "n1/t0", Instance: "7", Started: time.UnixMilli(7).UTC()}}}
		w.client.RegisterMember(effect.RegisterMember{Member: member})
		w.client.Wait()
		w.putObject(t, "members/n2", "nonsense")
		w.client.ListMembers(effect.ListMembers{})
		is.New(t).Equal(w.nextEvent(t), event.MembersListed{Members: []fleet.Member{member}})
		is.New(t).Equal(len(w.logged), 1)
		is.New(t).Equal((<-w.logged).(effect.WriteLog).Message, "member record left out")
	})
}

// TestClaims guards against an order that runs on two homes, and against a claim that outlives an order that did not run.
func TestClaims(t *testing.T) {
	claim := func(t *testing.T, w harness, attempt fleet.AttemptID) fleet.ClaimResult {
		t.Helper()
		w.client.ClaimOrder(effect.ClaimOrder{ClaimName: "caller/key", Attempt: attempt})
		claimed, ok := w.nextEvent(t).(event.OrderClaimFinished)
		is.New(t).True(ok)
		is.New(t).Equal(claimed.Attempt, attempt)
		return claimed.Result
	}
	release := func(w harness, attempt fleet.AttemptID) {
		w.client.ReleaseOrderClaim(effect.ReleaseOrderClaim{ClaimName: "caller/key", Attempt: attempt})
		w.client.Wait()
	}

	t.Run("another process is told that a claim exists", func(t *testing.T) {
		w := newHarness(t)
		is.New(t).Equal(claim(t, w, "a.1"), fleet.ClaimCreated)
		is.New(t).Equal(claim(t, w.otherProcess(t), "b.1"), fleet.ClaimExists)
	})

	t.Run("a claim whose response is lost counts as created", func(t *testing.T) {
		w := newHarness(t)
		w.server.SetFaults(lab.Faults{LoseResponses: 1})
		is.New(t).Equal(claim(t, w, "a.1"), fleet.ClaimCreated)
	})

	t.Run("an outage fails a claim", func(t *testing.T) {
		w := newHarness(t)
		w.server.SetFaults(lab.Faults{Outage: true})
		is.New(t).Equal(claim(t, w, "a.1"), fleet.ClaimFailed)
	})

	t.Run("a claim that is there and cannot be read exists", func(t *testing.T) {
		w := newHarness(t)
		is.New(t).Equal(claim(t, w, "a.1"), fleet.ClaimCreated)
		other := w
		other.client = w.newClient(roundTripFunc(func(r *http.Request) (*http.Response, error) {
			if r.Method == http.MethodGet {
				return nil, errors.New("the connection broke")
			}
			return http.DefaultTransport.RoundTrip(r)
		}))
		t.Cleanup(other.client.Close)
		is.New(t).Equal(claim(t, other, "b.1"), fleet.ClaimExists)
	})

	t.Run("the release of another attempt leaves the claim", func(t *testing.T) {
		w := newHarness(t)
		is.New(t).Equal(claim(t, w, "a.1"), fleet.ClaimCreated)
		release(w.otherProcess(t), "b.1")
		is.New(t).Equal(claim(t, w.otherProcess(t), "c.1"), fleet.ClaimExists)
	})

	t.Run("its own release deletes the claim", func(t *testing.T) {
		w := newHarness(t)
		is.New(t).Equal(claim(t, w, "a.1"), fleet.ClaimCreated)
		release(w, "a.1")
		is.New(t).Equal(claim(t, w.otherProcess(t), "b.1"), fleet.ClaimCreated)
	})

	t.Run("a late release leaves the claim of the process's next attempt", func(t *testing.T) {
		w := newHarness(t)
		is.New(t).Equal(claim(t, w, "a.1"), fleet.ClaimCreated)
		is.New(t).Equal(claim(t, w, "b.1"), fleet.ClaimCreated)
		release(w, "a.1")
		is.New(t).Equal(claim(t, w.otherProcess(t), "c.1"), fleet.ClaimExists)
	})
}
