package httpresponse

import (
	"bytes"
	"strconv"
	"strings"
)

// InvalidHead is the error for a head that the grammar of HTTP does not allow. It is a fixed text about the fault, without bytes of the
// head, so that it can be logged.
type InvalidHead string

// Error implements error.
func (e InvalidHead) Error() string { return "the response is invalid: " + string(e) }

const (
	errVersion        = InvalidHead("the version is not HTTP/1")
	errStatus         = InvalidHead("the status line has no status from 100 to 599, or an invalid reason")
	errFolded         = InvalidHead("a folded line")
	errNoColon        = InvalidHead("a field without a colon")
	errName           = InvalidHead("a field name is not a token")
	errValue          = InvalidHead("a field value with a control byte")
	errLengths        = InvalidHead("more than one Content-Length")
	errLength         = InvalidHead("Content-Length is not a number")
	errEncodings      = InvalidHead("more than one Transfer-Encoding")
	errEncoding       = InvalidHead("Transfer-Encoding is not chunked")
	errOldEncoding    = InvalidHead("Transfer-Encoding in a response of HTTP/1.0")
	errLengthEncoding = InvalidHead("Content-Length beside Transfer-Encoding")
	errUnparsed       = InvalidHead("it cannot be parsed")
)

const (
	minStatus = 100
	maxStatus = 599
	// tokenPunctuation holds the bytes of a token other than letters and digits (RFC 9110, section 5.6.2).
	tokenPunctuation = "!#$%&'*+-.^_`|~"
)

// tokenBytes holds the bytes that a token may consist of.
var tokenBytes = newTokenBytes()

func newTokenBytes() (is [256]bool) {
	for b := range is {
		letter := b|0x20 >= 'a' && b|0x20 <= 'z' && b < 0x80
		digit := b >= '0' && b <= '9'
		is[b] = letter || digit || strings.IndexByte(tokenPunctuation, byte(b)) >= 0
	}
	return is
}

// headCheck checks the lines of one head in their order.
type headCheck struct {
	// status is the status code, 0 before the first line.
	status   int
	old      bool
	length   bool
	encoding bool
}

// addLine checks the next line, which includes its end. It returns true if it is the empty line that ends the head.
func (c *headCheck) addLine(line []byte) (done bool, err error) {
	line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
	switch {
	case c.status == 0:
		return false, c.addStatusLine(line)
	case len(line) == 0:
		return true, c.checkFraming()
	default:
		return false, c.addField(line)
	}
}

// addStatusLine checks the version, the status and the reason. The blank after the status may be missing if there is no reason: some
// servers omit it.
func (c *headCheck) addStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	minor, found := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !found || len(minor) != 1 || !isNumber(minor) {
		return errVersion
	}
	c.old = minor[0] == '0'
	digits, reason, _ := bytes.Cut(rest, []byte(" "))
	if len(digits) != 3 || !isNumber(digits) || !isText(reason) {
		return errStatus
	}
	status, err := strconv.Atoi(string(digits))
	if err != nil || status < minStatus || status > maxStatus {
		return errStatus
	}
	c.status = status
	return nil
}

func (c *headCheck) addField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return errFolded
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found:
		return errNoColon
	case !isToken(name):
		return errName
	case !isText(value):
		return errValue
	case bytes.EqualFold(name, []byte("Content-Length")):
		return c.addLength(bytes.Trim(value, " \t"))
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return c.addEncoding(bytes.Trim(value, " \t"))
	}
	return nil
}

func (c *headCheck) addLength(value []byte) error {
	if c.length {
		return errLengths
	}
	c.length = true
	if !isNumber(value) {
		return errLength
	}
	if _, err := strconv.ParseInt(string(value), 10, 64); err != nil {
		return errLength
	}
	return nil
}

func (c *headCheck) addEncoding(value []byte) error {
	if c.encoding {
		return errEncodings
	}
	c.encoding = true
	if !bytes.EqualFold(value, []byte("chunked")) {
		return errEncoding
	}
	return nil
}

// checkFraming checks that the head tells the length of the body in one way. A receiver of HTTP/1.0 does not know encodings (RFC 9112,
// section 6.1).
func (c *headCheck) checkFraming() error {
	switch {
	case c.encoding && c.length:
		return errLengthEncoding
	case c.encoding && c.old:
		return errOldEncoding
	}
	return nil
}

func isToken(name []byte) bool {
	for _, b := range name {
		if !tokenBytes[b] {
			return false
		}
	}
	return len(name) > 0
}

// isText reports whether a value has no control bytes other than tabs.
func isText(value []byte) bool {
	for _, b := range value {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

func isNumber(digits []byte) bool {
	for _, b := range digits {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(digits) > 0
}
