package link_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/lab/link"
)

// TestFreeAddress guards against an address that another process gets while nothing listens on it, so that a killed node cannot
// listen on its port when it restarts.
func TestFreeAddress(t *testing.T) {
	address := link.FreeAddress()
	t.Run("the TCP port is free", func(t *testing.T) {
		listener, err := net.Listen("tcp", address)
		is.New(t).NoErr(err)
		is.New(t).NoErr(listener.Close())
	})
	t.Run("the reservation outlives the use of the TCP port", func(t *testing.T) {
		_, err := net.ListenPacket("udp", address)
		is.New(t).True(err != nil)
	})
}
