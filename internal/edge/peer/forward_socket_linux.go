package peer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpEstablished is TCP_ESTABLISHED in include/net/tcp_states.h of Linux.
const tcpEstablished = 1

// socketEnded reports whether the peer has closed or reset a connection, even if this process has not yet read the end. A
// connection that is not TCP counts as open.
func socketEnded(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	var open bool
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = infoErr == nil && info.State == tcpEstablished
	})
	return err != nil || !open
}
