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
	portCount  = 20000
)

// reservations holds an open UDP socket for each address that this process has returned.
var reservations sync.Map

// FreeAddress returns a loopback address on which nothing listens. The address stays reserved until this process ends: its TCP
// port may be unused for a while, for example while a killed node is down, and no other process may get it then. Since no
// program of jayfold uses UDP, a socket on the UDP port of the same number marks the address as reserved.
func FreeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portCount))
		reservation, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			_ = reservation.Close()
			continue
		}
		_ = listener.Close()
		reservations.Store(address, reservation)
		return address
	}
}
