package target

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// FuzzHeartbeat guards against a heartbeat that makes the decoder panic, and against one that passes validation with values that
// admission cannot handle.
func FuzzHeartbeat(f *testing.F) {
	f.Add([]byte(`{"Pool": "p", "Address": "127.0.0.1:80", "Slots": 4, "Connections": 300, "State": "Ready", "Instance": "a"}`))
	f.Add([]byte(`{"Pool": "p", "Address": "10.0.0.1:80", "Slots": -1, "State": "Draining"}`))
	f.Add([]byte(`{"Slots": 1e9}`))
	f.Add([]byte(`[`))
	host := netip.MustParseAddr("127.0.0.1")
	server := NewServer(NewHeartbeatAPI(), host, Seams{Now: time.Now, KnownPool: func(fleet.PoolName) bool { return true }})
	f.Fuzz(func(t *testing.T, body []byte) {
		h, problems, err := decodeHeartbeat("t", bytes.NewReader(body))
		if err != nil || len(problems) > 0 || len(server.validate(h)) > 0 {
			return
		}
		is := is.New(t)
		is.True(h.Slots > 0)
		is.True(h.Connections > 0)
		_, err = netip.ParseAddrPort(h.Address)
		is.NoErr(err)
	})
}
