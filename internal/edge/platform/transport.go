package platform

import (
	"net"
	"net/http"
	"time"
)

// dialTimeout is how long the opening of a connection may take. The platform answers within milliseconds; a silence this
// long is a partition, or the loss of two opening packets in a row.
const dialTimeout = 2 * time.Second

// keepAlive finds connections that have gone silent within 3 s: a watch hears nothing for up to half a minute, and the
// changes of that time would go unseen.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// NewTransport returns a transport for calls on the platform, whose connections end when they have gone silent.
func NewTransport() *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}
}
