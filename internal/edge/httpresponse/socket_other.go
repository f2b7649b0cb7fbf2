//go:build !linux

package httpresponse

import (
	"net"
	"syscall"
)

// EndedCleanly reports whether a connection on which a read has returned the end of file has no pending error. Other systems have no
// common way to query the state of a connection.
func EndedCleanly(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Control(func(fd uintptr) {
		pending, optErr := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		clean = optErr == nil && pending == 0
	})
	return err == nil && clean
}
