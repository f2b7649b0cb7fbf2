package fleet

import (
	"strings"
)

const (
	// escapeBytes is the length of an escape: a percent sign and two hexadecimal digits.
	escapeBytes = 3
	// hexDigits are the digits of escapes in a canonical path.
	hexDigits = "0123456789ABCDEF"
)

// CanonicalPath returns the form of an escaped URL path, or of a path prefix, in which routes are matched. It decodes every escape
// except those of the slash, which separates no segments when it is escaped, and of the percent sign. Both keep their escape with
// upper-case digits. A percent sign that starts no escape stays as it is.
func CanonicalPath(escaped string) string {
	if !strings.Contains(escaped, "%") {
		return escaped
	}
	var canonical strings.Builder
	canonical.Grow(len(escaped))
	for i := 0; i < len(escaped); i++ {
		decoded, ok := decodeEscape(escaped[i:])
		switch {
		case !ok:
			canonical.WriteByte(escaped[i])
			continue
		case decoded == '/' || decoded == '%':
			canonical.Write([]byte{'%', hexDigits[decoded>>4], hexDigits[decoded&0xF]})
		default:
			canonical.WriteByte(decoded)
		}
		i += escapeBytes - 1
	}
	return canonical.String()
}

// decodeEscape returns the byte of the escape at the start of s, if there is one.
func decodeEscape(s string) (byte, bool) {
	if len(s) < escapeBytes || s[0] != '%' {
		return 0, false
	}
	high := strings.IndexByte(hexDigits, upperCase(s[1]))
	low := strings.IndexByte(hexDigits, upperCase(s[2]))
	return byte(high<<4 | low&0xF), high >= 0 && low >= 0
}

func upperCase(c byte) byte {
	if 'a' <= c && c <= 'z' {
		return c - 'a' + 'A'
	}
	return c
}
