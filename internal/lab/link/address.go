package link

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Addresses are taken below the range of ports from which the system takes those of outgoing connections, so that none is
// taken between its choice and its use.
const (
	lowestPort = 12000
	portRange  = 20000
)

// taken holds the addresses handed out by this process.
var taken sync.Map

// FreeAddress returns an address on loopback on which nothing listens and that this process has not handed out before.
func FreeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portRange))
		if _, before := taken.LoadOrStore(address, true); before {
			continue
		}
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}
