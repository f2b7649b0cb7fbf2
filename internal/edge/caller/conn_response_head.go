package caller

import (
	"bufio"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"
)

// excludedHeaders are the headers of the handler that concern the connection. The server writes its own.
var excludedHeaders = map[string]bool{"Connection": true, "Transfer-Encoding": true, "Keep-Alive": true}

var excludedHeadersNoBody = map[string]bool{
	"Connection": true, "Transfer-Encoding": true, "Keep-Alive": true, "Content-Length": true,
}

var excludedHeadersNotModified = map[string]bool{
	"Connection": true, "Transfer-Encoding": true, "Keep-Alive": true, "Content-Length": true, "Content-Type": true,
}

// writeHead writes the status line and the headers. whole is true if the body is complete in the buffer; start is the start of the body.
func (x *response) writeHead(whole bool, start []byte) {
	r, w := x.request, x.output
	is11 := r.ProtoAtLeast(1, 1)
	hasBody := bodyAllowed(x.status)
	lengthKnown := x.declared >= 0 || !hasBody
	addLength := whole && hasBody && x.declared < 0 && (r.Method != http.MethodHead || x.buffered > 0)
	if addLength || r.Method == http.MethodHead {
		lengthKnown = true
	}
	wantsClose := x.last || x.header.Get("Connection") == "close" || !lengthKnown && !is11 || x.body != nil && !x.body.complete.Load()
	closes := x.conn.begin(x, wantsClose)

	writeStatusLine(w, is11, x.status)
	x.writeFields(hasBody, start)
	var scratch [len(http.TimeFormat)]byte
	if _, ok := x.header["Date"]; !ok {
		_, _ = w.WriteString("Date: ")
		_, _ = w.Write(time.Now().UTC().AppendFormat(scratch[:0], http.TimeFormat))
		_, _ = w.WriteString("\r\n")
	}
	if addLength {
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.Write(strconv.AppendInt(scratch[:0], int64(x.buffered), 10))
		_, _ = w.WriteString("\r\n")
	}
	switch {
	case closes && is11:
		_, _ = w.WriteString("Connection: close\r\n")
	case !closes && !is11:
		_, _ = w.WriteString("Connection: keep-alive\r\n")
	}
	if !lengthKnown && is11 {
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
		x.chunks = httputil.NewChunkedWriter(w)
	}
	_, _ = w.WriteString("\r\n")
}

// writeFields writes the handler's headers, and the type that net/http detects if there is none.
func (x *response) writeFields(hasBody bool, start []byte) {
	excluded := excludedHeaders
	switch {
	case x.status == http.StatusNotModified:
		excluded = excludedHeadersNotModified
	case !hasBody:
		excluded = excludedHeadersNoBody
	}
	_ = x.header.WriteSubset(x.output, excluded)
	_, hasType := x.header["Content-Type"]
	if !hasBody || hasType || len(start) == 0 || x.header.Get("Content-Encoding") != "" {
		return
	}
	_, _ = x.output.WriteString("Content-Type: ")
	_, _ = x.output.WriteString(http.DetectContentType(start))
	_, _ = x.output.WriteString("\r\n")
}

func writeStatusLine(w *bufio.Writer, is11 bool, status int) {
	version := "HTTP/1.0 "
	if is11 {
		version = "HTTP/1.1 "
	}
	text := http.StatusText(status)
	if text == "" {
		text = "status code " + strconv.Itoa(status)
	}
	var scratch [3]byte
	_, _ = w.WriteString(version)
	_, _ = w.Write(strconv.AppendInt(scratch[:0], int64(status), 10))
	_, _ = w.WriteString(" ")
	_, _ = w.WriteString(text)
	_, _ = w.WriteString("\r\n")
}

// bodyAllowed reports whether a response with this status has a body.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
