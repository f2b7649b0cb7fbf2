package hostile

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// caller is what one hostile caller does on its connection. It returns when it has sent everything, or when the node has closed the
// connection. The connection stays open until the end of the test.
type caller func(c net.Conn)

// sendInterval is the time between two lines of a caller that sends slowly.
const sendInterval = time.Millisecond

// callers are the kinds of hostile callers.
var callers = map[string]caller{
	"many short lines of 16 KiB, body withheld": func(c net.Conn) { withholdBody(c, 16<<10) },
	"many short lines of 48 KiB, body withheld": func(c net.Conn) { withholdBody(c, 48<<10) },
	"heads that never end": func(c net.Conn) {
		_, err := io.WriteString(c, "GET /large HTTP/1.1\r\nHost: shop\r\n")
		for i := 0; err == nil && i < 20000; i++ {
			_, err = fmt.Fprintf(c, "b%d:\r\n", i)
			if i%100 == 0 {
				time.Sleep(sendInterval)
			}
		}
	},
	"bodies without their last byte": func(c net.Conn) {
		_, _ = fmt.Fprintf(c, "POST /orders HTTP/1.1\r\nHost: shop\r\nContent-Length: %d\r\n\r\n", 1<<20)
		_, _ = c.Write(make([]byte, 1<<20-1))
	},
	"chunks without the last one": func(c net.Conn) {
		_, err := io.WriteString(c, "POST /orders HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := 0; err == nil && i < 100000; i++ {
			_, err = io.WriteString(c, "1\r\nx\r\n")
		}
	},
	"heads over the limit": func(c net.Conn) {
		_, _ = io.WriteString(c, "GET /large HTTP/1.1\r\nHost: shop\r\nX: "+strings.Repeat("x", 1<<20)+"\r\n\r\n")
	},
	"empty lines": func(c net.Conn) {
		var err error
		for i := 0; err == nil && i < 2000; i++ {
			_, err = io.WriteString(c, strings.Repeat("\r\n", 100))
		}
	},
	"pipelined requests, responses unread": func(c net.Conn) {
		_, _ = io.WriteString(c, strings.Repeat("GET /large HTTP/1.1\r\nHost: shop\r\n\r\n", 1000))
	},
	"pipelined heads of many lines, responses unread": func(c net.Conn) {
		var head strings.Builder
		head.WriteString("GET /large HTTP/1.1\r\nHost: shop\r\n")
		for i := 0; head.Len() < 30<<10; i++ {
			fmt.Fprintf(&head, "a%d:\r\n", i)
		}
		_, _ = io.WriteString(c, strings.Repeat(head.String()+"\r\n", 20))
	},
	"idle connections": func(net.Conn) {},
	"HTTP/2 streams with bodies withheld": func(c net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, c) }()
		_, err := io.WriteString(c, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"+frame(4, 0, 0, nil))
		fields := "\x83\x86\x44\x07/orders\x41\x04shop" // POST, http, the path and the authority
		for i := range 2000 {
			fields += fmt.Sprintf("\x00\x05a%04d\x00", i)
		}
		for stream := uint32(1); err == nil && stream < 400; stream += 2 {
			const part = 16000
			_, err = io.WriteString(c, frame(1, 0, stream, []byte(fields[:part]))+frame(9, 4, stream, []byte(fields[part:])))
		}
	},
	"HTTP/2 pings": func(c net.Conn) {
		_, err := io.WriteString(c, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"+frame(4, 0, 0, nil))
		pings := strings.Repeat(frame(6, 0, 0, make([]byte, 8)), 100)
		for i := 0; err == nil && i < 500; i++ {
			_, err = io.WriteString(c, pings)
		}
	},
}

// withholdBody sends a head of many short lines and no body.
func withholdBody(c net.Conn, size int) {
	var head strings.Builder
	head.WriteString("POST /orders HTTP/1.1\r\nHost: shop\r\nContent-Length: 10\r\n")
	for i := 0; head.Len() < size; i++ {
		fmt.Fprintf(&head, "a%d:\r\n", i)
	}
	_, _ = io.WriteString(c, head.String()+"\r\n")
}

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload []byte) string {
	n := len(payload)
	return string([]byte{byte(n >> 16), byte(n >> 8), byte(n), kind, flags, byte(stream >> 24), byte(stream >> 16), byte(stream >> 8),
		byte(stream)}) + string(payload)
}
