package target_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/target"
)

const goodBody = `{"Pool":"catalogue","Address":"10.0.0.7:8080","Slots":4,"Connections":300,` +
	`"State":"Ready","Instance":"i1","InFlight":2}`

// serveRequest sends one request to a server on 10.0.0.7 and returns the response and the events that it posted. The call is
// acknowledged at once.
func serveRequest(method, path, body string) (*httptest.ResponseRecorder, []event.Body) {
	return serveWithAck(method, path, body, func(s *target.Server) {
		s.AcknowledgeTarget(effect.AcknowledgeTarget{AckID: 1, Accepted: true})
	})
}

func serveWithAck(method, path, body string, acknowledge func(*target.Server)) (*httptest.ResponseRecorder, []event.Body) {
	var posted []event.Body
	var server *target.Server
	server = target.NewServer(target.NewHeartbeatAPI(), netip.MustParseAddr("10.0.0.7"), target.Seams{
		Now: time.Now,
		Post: func(b event.Body) {
			posted = append(posted, b)
			acknowledge(server)
		},
		KnownPool: func(name fleet.PoolName) bool { return name == "catalogue" },
	})
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder, posted
}

// TestServerPosts guards against an event with other values than those that the target sent.
func TestServerPosts(t *testing.T) {
	t.Run("heartbeat", func(t *testing.T) {
		is := is.New(t)
		response, posted := serveRequest(http.MethodPut, "/v1/targets/shop-1", goodBody)
		is.Equal(response.Code, http.StatusNoContent)
		is.Equal(posted, []event.Body{event.HeartbeatReceived{Heartbeat: fleet.Heartbeat{
			Name: "shop-1", Pool: "catalogue", Address: "10.0.0.7:8080", Slots: 4, Connections: 300, Instance: "i1", InFlight: 2,
		}, AckID: 1}})
	})
	t.Run("withdrawal", func(t *testing.T) {
		is := is.New(t)
		response, posted := serveRequest(http.MethodDelete, "/v1/targets/shop-1", "")
		is.Equal(response.Code, http.StatusNoContent)
		is.Equal(posted, []event.Body{event.TargetWithdrew{Name: "shop-1", AckID: 1}})
	})
}

// TestServerWaitsForAck guards against a response that promises a target that it gets no more requests, before the node can keep
// that promise.
func TestServerWaitsForAck(t *testing.T) {
	for name, acknowledge := range map[string]func(*target.Server){
		"refused":              func(s *target.Server) { s.AcknowledgeTarget(effect.AcknowledgeTarget{AckID: 1}) },
		"reply to another one": func(s *target.Server) { s.AcknowledgeTarget(effect.AcknowledgeTarget{AckID: 2, Accepted: true}) },
		"no reply":             func(*target.Server) {},
	} {
		t.Run(name, func(t *testing.T) {
			response, _ := serveWithAck(http.MethodDelete, "/v1/targets/shop-1", "", acknowledge)
			is.New(t).Equal(response.Code, http.StatusServiceUnavailable)
		})
	}
}

// TestServerRefuses guards against adding a misconfigured target, or one on another host, to a pool.
func TestServerRefuses(t *testing.T) {
	replace := func(old, changed string) string { return strings.Replace(goodBody, old, changed, 1) }
	cases := []struct {
		name, path, body string
		status           int
		problem          string
	}{
		{"unknown pool", "/v1/targets/a", replace("catalogue", "nowhere"), 422, `no pool \"nowhere\"`},
		{"address of another host", "/v1/targets/a", replace("10.0.0.7", "10.0.0.8"), 422, "Address"},
		{"loopback on a routed host", "/v1/targets/a", replace("10.0.0.7", "127.0.0.1"), 422, "Address"},
		{"host name", "/v1/targets/a", replace("10.0.0.7", "shop"), 422, "Address"},
		{"no slots", "/v1/targets/a", replace(`"Slots":4`, `"Slots":0`), 422, "Slots"},
		{"too many slots", "/v1/targets/a", replace(`"Slots":4`, `"Slots":1025`), 422, "Slots"},
		{"no connections", "/v1/targets/a", replace("300", "0"), 422, "Connections"},
		{"unknown state", "/v1/targets/a", replace("Ready", "Fine"), 422, "State"},
		{"no instance", "/v1/targets/a", replace("i1", ""), 422, "Instance"},
		{"negative in flight", "/v1/targets/a", replace(`"InFlight":2`, `"InFlight":-1`), 422, "InFlight"},
		{"bad name", "/v1/targets/-a", goodBody, 422, "name"},
		{"unknown field", "/v1/targets/a", replace("Slots", "Slot"), 400, "Slot"},
		{"not JSON", "/v1/targets/a", "ready", 400, "body"},
		{"two values", "/v1/targets/a", goodBody + goodBody, 400, "more than one"},
		{"too large", "/v1/targets/a", replace("i1", strings.Repeat("i", 17<<10)), 413, "too large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			response, posted := serveRequest(http.MethodPut, c.path, c.body)
			is.Equal(response.Code, c.status)
			is.Equal(len(posted), 0)
			is.True(strings.Contains(response.Body.String(), c.problem)) // the response says what is wrong
		})
	}
}
