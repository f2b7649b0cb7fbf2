package httpresponse

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpCloseWait is TCP_CLOSE_WAIT in include/net/tcp_states.h of Linux: the peer has ended its direction of the connection, and nothing
// has failed.
const tcpCloseWait = 8

// EndedCleanly reports whether a connection on which a read has returned the end of file was ended by the peer after the peer's system
// had received everything that was written. After a reset, the system reports the error to whichever of read and write comes first, and
// the other one gets an end of file. The state of the connection tells the two apart. A connection that is not TCP counts as ended
// cleanly.
func EndedCleanly(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var clean bool
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		clean = infoErr == nil && info.State == tcpCloseWait && info.Unacked == 0 && info.Notsent_bytes == 0
	})
	return err == nil && clean
}
