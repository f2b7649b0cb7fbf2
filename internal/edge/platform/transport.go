package platform

import (
	"net"
	"net/http"
	"time"

	"jayfold.dev/jayfold/internal/edge/httpresponse"
)

// dialTimeout bounds the dial of a connection. The platform responds within milliseconds, so a dial that takes longer means a
// partition or the loss of two SYN packets in a row.
const dialTimeout = 2 * time.Second

// keepAlive detects dead connections within 3 s. A watch may wait for up to 30 s without any traffic, and on a dead connection
// it would miss the changes of that time.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// maxHeadBytes bounds the status line and headers of a response. The default of net/http, 10 MB, takes several times as much memory
// while it is read.
const maxHeadBytes = 64 << 10

// NewTransport returns a transport for calls to the platform, over http and not https, that detects dead connections, invalid heads and
// heads without end. Each call has its own connection, of which the first response is checked.
func NewTransport() *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return &http.Transport{
		DialContext:            httpresponse.CheckedDial(dialer.DialContext),
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}
