package caller

import (
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// The request headers of callers.
const (
	headerCaller     = "Jayfold-Caller"
	headerTimeout    = "Jayfold-Timeout"
	headerIdempotent = "Jayfold-Idempotent"
	headerKey        = "Idempotency-Key"
	headerParent     = "Jayfold-Parent"
	headerAccountKey = "Jayfold-Account-Key"
	headerAccount    = "Jayfold-Account"
)

// maxNameBytes limits the length of client account names, parent ids and idempotency keys, which are sent between nodes, stored
// or logged.
const maxNameBytes = 256

// RandomRequestID returns a request id with at least 128 random bits.
func RandomRequestID() fleet.RequestID { return fleet.RequestID(rand.Text()) }

// readBody reads the whole body of a request into held. It returns a problem if the headers, the body or the time exceed their limit.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, held *heldBody) ([]byte, error) {
	limits := s.limits()
	if headerBytes(r.Header) > limits.HeaderBytes {
		return nil, errHeadersTooLarge
	}
	if r.ContentLength > min(limits.BodyBytes, s.bodies.limit) {
		return nil, errBodyTooLarge
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.bodyTimeout))
	held.source = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
	body, err := held.readAll(r.ContentLength)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	if _, ok := errors.AsType[fleet.Problem](err); ok {
		return nil, err
	}
	if _, tooLarge := errors.AsType[*http.MaxBytesError](err); tooLarge {
		return nil, errBodyTooLarge
	}
	detail := "reading the body: " + err.Error()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		detail = "the body did not arrive within the timeout"
	}
	return nil, fleet.NewProblem(fleet.BadRequest, fleet.NotRun, detail)
}

func headerBytes(h http.Header) int {
	total := 0
	for name, values := range h {
		for _, value := range values {
			total += len(name) + len(value) + len(": \r\n")
		}
	}
	return total
}

// decodeRequest translates a request. An error about a header contains its name.
func decodeRequest(r *http.Request, body []byte) (fleet.Request, error) {
	if r.Method == http.MethodConnect || !strings.HasPrefix(r.URL.Path, "/") {
		return fleet.Request{}, badRequest("want a URL path that starts with / and a method other than CONNECT")
	}
	caller, err := singleValue(r.Header, headerCaller)
	if err != nil {
		return fleet.Request{}, err
	}
	key, err := singleValue(r.Header, headerKey)
	if err != nil {
		return fleet.Request{}, err
	}
	parent, err := singleValue(r.Header, headerParent)
	if err != nil {
		return fleet.Request{}, err
	}
	timeout, err := parseTimeout(r.Header)
	if err != nil {
		return fleet.Request{}, err
	}
	idempotent, err := parseIdempotent(r.Header)
	if err != nil {
		return fleet.Request{}, err
	}
	host := hostWithoutPort(r.Host)
	return fleet.Request{
		Method:      r.Method,
		Host:        host,
		Path:        fleet.CanonicalPath(r.URL.EscapedPath()),
		Caller:      fleet.Caller(caller),
		Credential:  fleet.NewCredential(r.Header.Values(headerAccountKey)),
		Parent:      fleet.RequestID(parent),
		Idempotent:  idempotent,
		Key:         fleet.IdempotencyKey(key),
		Timeout:     timeout,
		Fingerprint: Fingerprint(r, body),
	}, nil
}

// removeCredentials removes the headers about client accounts. They are headers of jayfold, which forwarding removes in any case.
func removeCredentials(header http.Header) {
	header.Del(headerAccountKey)
	header.Del(headerAccount)
}

func badRequest(detail string) fleet.Problem {
	return fleet.NewProblem(fleet.BadRequest, fleet.NotRun, detail)
}

// singleValue returns the value of a header, which may be absent but must not be repeated, empty or longer than maxNameBytes.
func singleValue(h http.Header, name string) (string, error) {
	values := h.Values(name)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxNameBytes {
		return "", badRequest("header " + name + ": want one value of 1 to 256 bytes")
	}
	return values[0], nil
}

func parseTimeout(h http.Header) (time.Duration, error) {
	value, err := singleValue(h, headerTimeout)
	if err != nil || value == "" {
		return 0, err
	}
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout <= 0 {
		return 0, badRequest("header " + headerTimeout + ": want a positive duration such as 250ms")
	}
	return timeout, nil
}

// parseIdempotent returns the value of the Jayfold-Idempotent header. A caller sets it to false if its request must not run more
// than once.
func parseIdempotent(h http.Header) (fleet.Option[bool], error) {
	value, err := singleValue(h, headerIdempotent)
	switch {
	case err != nil:
		return fleet.Option[bool]{}, err
	case value == "":
		return fleet.Option[bool]{}, nil
	case value == "false":
		return fleet.Some(false), nil
	case value == "true":
		return fleet.Some(true), nil
	default:
		return fleet.Option[bool]{}, badRequest("header " + headerIdempotent + ": want false or true")
	}
}

func hostWithoutPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// Fingerprint returns the hash of a request's method, host, path, query and body. Requests with the same fingerprint count as
// the same request. A zero byte separates the parts.
func Fingerprint(r *http.Request, body []byte) fleet.Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{r.Method, strings.ToLower(hostWithoutPort(r.Host)), r.URL.RequestURI()} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return fleet.Fingerprint(digest.Sum64())
}
