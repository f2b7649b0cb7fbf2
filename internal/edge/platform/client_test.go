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

// harness is a client and the simulated platform that it calls.
type harness struct {
	server  *lab.Server
	baseURL string
	client  *platform.Client
	events  chan event.Body
	// epochs receives the events about epochs instead of events.
	epochs chan event.EpochSeen
	logged chan effect.Effect
}

func newHarness(t *testing.T) harness {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := harness{
		server:  lab.New(lab.Limits{}, time.Now),
		baseURL: "http://" + listener.Addr().String(),
		events:  make(chan event.Body, 16),
		epochs:  make(chan event.EpochSeen, 16),
		logged:  make(chan effect.Effect, 16),
	}
	served := make(chan error, 1)
	go func() { served <- h.server.Serve(ctx, listener) }()
	h.client = h.newClient(http.DefaultTransport)
	t.Cleanup(func() {
		h.client.Close()
		cancel()
		is.New(t).NoErr(<-served)
	})
	return h
}

// otherProcess returns a harness whose client stands for another process on the same platform.
func (h harness) otherProcess(t *testing.T) harness {
	t.Helper()
	h.client = h.newClient(http.DefaultTransport)
	t.Cleanup(h.client.Close)
	return h
}

// roundTripFunc is an http.RoundTripper that calls a function.
type roundTripFunc func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (tr roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return tr(r) }

func (h harness) newClient(tr http.RoundTripper) *platform.Client {
	return platform.New(platform.Seams{
		Store: platform.NewStore(h.baseURL, &http.Client{Transport: tr}),
		Post: func(body event.Body) {
			if seen, ok := body.(event.EpochSeen); ok {
				h.epochs <- seen
				return
			}
			h.events <- body
		},
		Observe: func(e effect.Effect) { h.logged <- e },
	})
}

// countObjects returns the number of objects on the platform whose keys have the prefix.
func (h harness) countObjects(t *testing.T, prefix string) int {
	t.Helper()
	res, err := http.Get(h.baseURL + "/v1/objects?prefix=" + prefix)
	is.New(t).NoErr(err)
	defer func() { is.New(t).NoErr(res.Body.Close()) }()
	var listed struct{ Objects []struct{ Key string } }
	is.New(t).NoErr(json.NewDecoder(res.Body).Decode(&listed))
	return len(listed.Objects)
}

// nextEvent waits for the next event.
func (h harness) nextEvent(t *testing.T) event.Body {
	t.Helper()
	select {
	case body := <-h.events:
		return body
	case <-time.After(10 * time.Second):
		t.Fatal("no event was posted")
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

// putObject writes a raw value to the platform.
func (h harness) putObject(t *testing.T, key, value string) {
	t.Helper()
	assert := is.New(t)
	req, err := http.NewRequest(http.MethodPut, h.baseURL+"/v1/objects/"+key, strings.NewReader(value))
	assert.NoErr(err)
	res, err := http.DefaultClient.Do(req)
	assert.NoErr(err)
	assert.NoErr(res.Body.Close())
	assert.Equal(res.StatusCode, http.StatusOK)
}

// assertRevision checks the number and the pool of the newest revision.
func assertRevision(t *testing.T, h harness, revision fleet.Revision, pool fleet.PoolName) {
	t.Helper()
	assert := is.New(t)
	found, err := h.client.ReadTables(t.Context())
	assert.NoErr(err)
	assert.Equal(found.Revision, revision)
	_, ok := found.Pool(pool)
	assert.True(ok)
}

// TestApply guards against a change of the tables that is lost, applied twice or reported with the wrong result, and against
// chunks of old revisions that remain on the platform.
func TestApply(t *testing.T) {
	t.Run("an applied revision is read back", func(t *testing.T) {
		h := newHarness(t)
		revision, err := h.client.ApplyTables(t.Context(), tablesWithPool("a"), 0, "change-1")
		is.New(t).NoErr(err)
		is.New(t).Equal(revision, fleet.Revision(1))
		assertRevision(t, h, 1, "a")
	})

	t.Run("of two concurrent changes one is applied and the other is a conflict", func(t *testing.T) {
		h := newHarness(t)
		results := make(chan error, 2)
		for _, pool := range []fleet.PoolName{"a", "b"} {
			go func() {
				_, err := h.client.ApplyTables(context.Background(), tablesWithPool(pool), 0, "change-"+string(pool))
				results <- err
			}()
		}
		var conflict platform.RevisionConflict
		first, second := <-results, <-results
		is.New(t).True((first == nil) != (second == nil))
		is.New(t).True(errors.As(errors.Join(first, second), &conflict))
		is.New(t).Equal(conflict, platform.RevisionConflict{Expected: 0, Found: 1})
	})

	t.Run("a write whose response is lost is neither sent again nor reported as a conflict", func(t *testing.T) {
		h := newHarness(t)
		h.server.SetFaults(lab.Faults{LoseResponses: 2})
		revision, err := h.client.ApplyTables(t.Context(), tablesWithPool("a"), 0, "change-1")
		is.New(t).NoErr(err)
		is.New(t).Equal(revision, fleet.Revision(1))
		is.New(t).Equal(h.server.Counters().Lost, 2)
		assertRevision(t, h, 1, "a")
	})

	t.Run("a change whose response is lost is recognized after another change", func(t *testing.T) {
		h := newHarness(t)
		applied := false
		client := h.newClient(roundTripFunc(func(r *http.Request) (*http.Response, error) {
			res, err := http.DefaultTransport.RoundTrip(r)
			if err != nil || applied || r.Method != http.MethodPut || r.URL.Path != "/v1/objects/tables/head" {
				return res, err
			}
			applied = true
			is.New(t).NoErr(res.Body.Close())
			_, err = h.client.ApplyTables(t.Context(), tablesWithPool("b"), 1, "change-2")
			is.New(t).NoErr(err)
			return nil, errors.New("the response was lost")
		}))
		revision, err := client.ApplyTables(t.Context(), tablesWithPool("a"), 0, "change-1")
		is.New(t).NoErr(err)
		is.New(t).Equal(revision, fleet.Revision(1))
		assertRevision(t, h, 2, "b")
	})

	t.Run("chunks of older revisions are deleted", func(t *testing.T) {
		h := newHarness(t)
		for i := range fleet.Revision(6) {
			_, err := h.client.ApplyTables(t.Context(), tablesWithPool(fleet.PoolName("pool-"+string('a'+rune(i)))), i, rand.Text())
			is.New(t).NoErr(err)
		}
		assertRevision(t, h, 6, "pool-f")
		is.New(t).Equal(h.countObjects(t, "tables/chunk/"), 2) // the newest revision, and the previous one for ongoing reads
	})

	t.Run("an outage fails the change and leaves the tables unchanged", func(t *testing.T) {
		h := newHarness(t)
		_, err := h.client.ApplyTables(t.Context(), tablesWithPool("a"), 0, "change-1")
		is.New(t).NoErr(err)
		h.server.SetFaults(lab.Faults{Outage: true})
		_, err = h.client.ApplyTables(t.Context(), tablesWithPool("b"), 1, "change-2")
		var failure platform.CallError
		is.New(t).True(errors.As(err, &failure))
		h.server.SetFaults(lab.Faults{})
		assertRevision(t, h, 1, "a")
	})
}

// TestEffects guards against platform calls whose result or failure does not reach the reducer, and against an older member
// record that overwrites a newer one.
func TestEffects(t *testing.T) {
	t.Run("a pending watch reports a change, and its tables are fetched", func(t *testing.T) {
		h := newHarness(t)
		h.client.WatchHead(effect.WatchHead{Wait: 30 * time.Second})
		_, err := h.client.ApplyTables(t.Context(), tablesWithPool("a"), 0, "change-1")
		is.New(t).NoErr(err)
		read, ok := h.nextEvent(t).(event.HeadRead)
		is.New(t).True(ok)
		is.New(t).Equal(read.Head.Revision, fleet.Revision(1))
		h.client.FetchTables(effect.FetchTables{Head: read.Head})
		decoded, ok := h.nextEvent(t).(event.TablesDecoded)
		is.New(t).True(ok)
		is.New(t).Equal(decoded.Tables.Revision, fleet.Revision(1))
	})

	t.Run("an outage fails a pending watch", func(t *testing.T) {
		h := newHarness(t)
		h.client.WatchHead(effect.WatchHead{Wait: 30 * time.Second})
		for h.server.Counters().Watches == 0 {
			time.Sleep(time.Millisecond)
		}
		h.server.SetFaults(lab.Faults{Outage: true})
		failed, ok := h.nextEvent(t).(event.PlatformCallFailed)
		is.New(t).True(ok)
		is.New(t).Equal(failed.Call, event.CallWatchHead)
	})

	t.Run("a watch on a dead connection fails", func(t *testing.T) {
		h := newHarness(t)
		h.server.SetFaults(lab.Faults{Silent: true})
		h.client.WatchHead(effect.WatchHead{Wait: time.Millisecond})
		failed, ok := h.nextEvent(t).(event.PlatformCallFailed)
		is.New(t).True(ok)
		is.New(t).Equal(failed.Call, event.CallWatchHead)
	})

	t.Run("a head that does not decode is reported", func(t *testing.T) {
		h := newHarness(t)
		h.putObject(t, "tables/head", `{"Revision":`)
		h.client.WatchHead(effect.WatchHead{Wait: 30 * time.Second})
		failed, ok := h.nextEvent(t).(event.PlatformCallFailed)
		is.New(t).True(ok)
		is.New(t).Equal(failed.Call, event.CallWatchHead)
	})

	t.Run("a record is not written after a newer one", func(t *testing.T) {
		h := newHarness(t)
		member := fleet.Member{Node: "n1", Incarnation: 3, Sequence: 7}
		h.client.RegisterMember(effect.RegisterMember{Member: member, Delay: 20 * time.Millisecond})
		h.client.RegisterMember(effect.RegisterMember{Member: member.WithTargets(nil)})
		h.client.Wait()
		is.New(t).Equal(h.nextEvent(t), event.MemberRegistered{Sequence: 8, Epoch: 1})
		h.client.ListMembers(effect.ListMembers{})
		is.New(t).Equal(h.nextEvent(t), event.MembersListed{Members: []fleet.Member{member.WithTargets(nil)}})
	})

	t.Run("a member record that does not decode is skipped", func(t *testing.T) {
		h := newHarness(t)
		member := fleet.Member{Node: "n1", PeerAddress: "127.0.0.1:1", Incarnation: 3, Targets: []fleet.Target{
			{ID: "n1/t1", Pool: "a", Slots: 4},
		}, Tombstones: []fleet.Tombstone{{Target: "n1/t0", Instance: "7", Started: time.UnixMilli(7).UTC()}}}
		h.client.RegisterMember(effect.RegisterMember{Member: member})
		h.client.Wait()
		is.New(t).Equal(h.nextEvent(t), event.MemberRegistered{Epoch: 1})
		h.putObject(t, "members/n2", "nonsense")
		h.client.ListMembers(effect.ListMembers{})
		is.New(t).Equal(h.nextEvent(t), event.MembersListed{Members: []fleet.Member{member}})
		is.New(t).Equal(len(h.logged), 1)
		is.New(t).Equal((<-h.logged).(effect.WriteLog).Message, "member record skipped")
	})
}

// TestOddMemberRecordIsSkipped guards against a member record of another writer that hides the others, or that a node takes over
// although no process can have written it: an incarnation near the largest number would make a restarted node start again at 0.
func TestOddMemberRecordIsSkipped(t *testing.T) {
	const good = `{"Node": "n2", "PeerAddress": "10.0.0.2:70", "ForwardAddress": "10.0.0.2:71", "Incarnation": 5, "Status": "Alive"}`
	for name, c := range map[string]struct{ old, odd string }{
		"a port out of range":        {"10.0.0.2:70", "10.0.0.2:70000"},
		"port 0":                     {"10.0.0.2:71", "10.0.0.2:0"},
		"a host name":                {"10.0.0.2:70", "somewhere:70"},
		"the largest incarnation":    {`"Incarnation": 5`, `"Incarnation": 18446744073709551615`},
		"an incarnation of 1e40":     {`"Incarnation": 5`, `"Incarnation": 1e40`},
		"the largest sequence":       {`"Incarnation": 5`, `"Incarnation": 5, "Sequence": 18446744073709551615`},
		"nested too deeply":          {`"Alive"`, strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)},
		"more slots than any target": {`"Alive"`, `"Alive", "Targets": [{"ID": "n2/t", "Pool": "p", "State": "Ready", "Slots": 2000000000}]`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.putObject(t, "members/n1", strings.ReplaceAll(good, "n2", "n1"))
			h.putObject(t, "members/n2", strings.Replace(good, c.old, c.odd, 1))
			h.putObject(t, "members/n3", strings.ReplaceAll(good, "n2", "n3"))
			h.client.ListMembers(effect.ListMembers{})
			listed, ok := h.nextEvent(t).(event.MembersListed)
			is.True(ok)
			is.Equal(len(listed.Members), 2)
			is.Equal(len(h.logged), 1)
			is.Equal((<-h.logged).(effect.WriteLog).Message, "member record skipped")
		})
	}
}

// TestClaims guards against an order that runs on two nodes, and against a claim that remains after its order did not run.
func TestClaims(t *testing.T) {
	claim := func(t *testing.T, h harness, attempt fleet.AttemptID) fleet.ClaimResult {
		t.Helper()
		h.client.ClaimOrder(effect.ClaimOrder{ClaimName: "caller/key", Attempt: attempt})
		claimed, ok := h.nextEvent(t).(event.OrderClaimFinished)
		is.New(t).True(ok)
		is.New(t).Equal(claimed.Attempt, attempt)
		return claimed.Result
	}
	release := func(h harness, attempt fleet.AttemptID) {
		h.client.ReleaseOrderClaim(effect.ReleaseOrderClaim{ClaimName: "caller/key", Attempt: attempt})
		h.client.Wait()
	}

	t.Run("another process finds an existing claim", func(t *testing.T) {
		h := newHarness(t)
		is.New(t).Equal(claim(t, h, "a.1"), fleet.ClaimCreated)
		is.New(t).Equal(claim(t, h.otherProcess(t), "b.1"), fleet.ClaimExists)
	})

	t.Run("a claim whose response is lost counts as created", func(t *testing.T) {
		h := newHarness(t)
		h.server.SetFaults(lab.Faults{LoseResponses: 1})
		is.New(t).Equal(claim(t, h, "a.1"), fleet.ClaimCreated)
	})

	t.Run("an outage fails a claim", func(t *testing.T) {
		h := newHarness(t)
		h.server.SetFaults(lab.Faults{Outage: true})
		is.New(t).Equal(claim(t, h, "a.1"), fleet.ClaimFailed)
	})

	t.Run("an existing claim that cannot be read counts as existing", func(t *testing.T) {
		h := newHarness(t)
		is.New(t).Equal(claim(t, h, "a.1"), fleet.ClaimCreated)
		other := h
		other.client = h.newClient(roundTripFunc(func(r *http.Request) (*http.Response, error) {
			if r.Method == http.MethodGet {
				return nil, errors.New("the connection broke")
			}
			return http.DefaultTransport.RoundTrip(r)
		}))
		t.Cleanup(other.client.Close)
		is.New(t).Equal(claim(t, other, "b.1"), fleet.ClaimExists)
	})

	t.Run("the release of another attempt keeps the claim", func(t *testing.T) {
		h := newHarness(t)
		is.New(t).Equal(claim(t, h, "a.1"), fleet.ClaimCreated)
		release(h.otherProcess(t), "b.1")
		is.New(t).Equal(claim(t, h.otherProcess(t), "c.1"), fleet.ClaimExists)
	})

	t.Run("the release of the same attempt deletes the claim", func(t *testing.T) {
		h := newHarness(t)
		is.New(t).Equal(claim(t, h, "a.1"), fleet.ClaimCreated)
		release(h, "a.1")
		is.New(t).Equal(claim(t, h.otherProcess(t), "b.1"), fleet.ClaimCreated)
	})

	t.Run("a late release keeps the claim of the next attempt of the process", func(t *testing.T) {
		h := newHarness(t)
		is.New(t).Equal(claim(t, h, "a.1"), fleet.ClaimCreated)
		is.New(t).Equal(claim(t, h, "b.1"), fleet.ClaimCreated)
		release(h, "a.1")
		is.New(t).Equal(claim(t, h.otherProcess(t), "c.1"), fleet.ClaimExists)
	})
}
