//go:build !linux

package peer

import "net"

// socketEnded always reports false: other systems have no common way to query the state of a connection that is being read.
func socketEnded(net.Conn) bool { return false }
