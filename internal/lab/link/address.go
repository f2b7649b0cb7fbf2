package link

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports are chosen below the ephemeral port range of the system, so that no outgoing connection occupies a port between its
// choice and its use.
const (
	lowestPort = 12000
	portRange  = 20000
)

// handedOut holds the addresses that this process has returned.
var handedOut sync.Map

// FreeAddress returns a loopback address on which nothing listens and that this process has not returned before.
func FreeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portRange))
		if _, before := handedOut.LoadOrStore(address, true); before {
			continue
		}
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}
