package caller

import "net/http"

// abort breaks off a response whose start has been sent. It resets an HTTP/1 connection: where the end of the connection ends the
// response, as for callers of HTTP/1.0, a response that ends cleanly would look complete.
func abort(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		// A stream of HTTP/2 is reset.
		panic(http.ErrAbortHandler)
	}
	if socket, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}
