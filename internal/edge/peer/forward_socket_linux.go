package peer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpEstablished is TCP_ESTABLISHED of Linux's include/net/tcp_states.h.
const tcpEstablished = 1

// socketEnded reports whether the peer has closed or reset a connection, also where this process has not read that yet. A
// connection of another kind than TCP counts as open.
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
