package httpresponse_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"jayfold.dev/jayfold/internal/edge/httpresponse"
)

// typicalResponse has the head of a common target.
var typicalResponse = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 01:00:00 GMT\r\nServer: target/1.0\r\nContent-Type: application/json\r\n" +
	"Cache-Control: no-store\r\nJayfold-Request: 01HZX3J5K8N7Q2R4T6V8W0Y1Z3\r\nETag: \"33a64df551425fcc\"\r\nContent-Length: 4\r\n\r\nfour"

// repeatedText is a text that is read again and again.
type repeatedText struct{ reader *strings.Reader }

// Read implements io.Reader.
func (r repeatedText) Read(p []byte) (int, error) {
	if r.reader.Len() == 0 {
		r.reader.Reset(typicalResponse)
	}
	return r.reader.Read(p)
}

// BenchmarkReadResponse measures the check of a typical head against net/http alone.
func BenchmarkReadResponse(b *testing.B) {
	source := repeatedText{strings.NewReader(typicalResponse)}
	b.Run("checked", func(b *testing.B) {
		reader := httpresponse.NewReader(source)
		b.ReportAllocs()
		for b.Loop() {
			if err := readNext(reader); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("net/http", func(b *testing.B) {
		reader := bufio.NewReader(source)
		b.ReportAllocs()
		for b.Loop() {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
}
