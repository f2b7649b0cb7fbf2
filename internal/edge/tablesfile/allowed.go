package tablesfile

import (
	"fmt"
	"regexp"
	"strings"
)

// The longest values.
const (
	longestPathPrefix = 1024
	// longestHost is the limit of DNS names.
	longestHost = 253
)

var (
	identifierPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	hostPattern       = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9.-]*[A-Za-z0-9])?$`)
	methodPattern     = regexp.MustCompile(`^[A-Z]{1,32}$`)
	pathPattern       = regexp.MustCompile(`^/[!-"$->@-~]*$`)
)

// identifier allows the names of routes, pools and services.
func identifier(s string) string {
	if identifierPattern.MatchString(s) {
		return ""
	}
	return "1 to 64 letters, digits, dots, hyphens and underscores that start with a letter or digit"
}

// host allows a host name or an IPv4 address.
func host(s string) string {
	if len(s) <= longestHost && hostPattern.MatchString(s) {
		return ""
	}
	return "a host name without a port"
}

// method allows the name of an HTTP method.
func method(s string) string {
	if methodPattern.MatchString(s) {
		return ""
	}
	return "an HTTP method in capital letters"
}

// pathPrefix allows an absolute path in the form that requests are matched in.
func pathPrefix(s string) string {
	if len(s) <= longestPathPrefix && pathPattern.MatchString(s) && !strings.Contains(s, "//") {
		return ""
	}
	return fmt.Sprintf("a path of at most %d printable ASCII characters that starts with a slash, "+
		"without ?, # and empty segments", longestPathPrefix)
}
