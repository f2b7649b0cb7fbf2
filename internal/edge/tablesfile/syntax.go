package tablesfile

import (
	"fmt"
	"regexp"
	"strings"
)

// The longest values.
const (
	maxPathPrefixBytes = 1024
	// maxHostBytes is the limit of DNS names.
	maxHostBytes = 253
)

var (
	identifierPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	hostPattern       = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9.-]*[A-Za-z0-9])?$`)
	methodPattern     = regexp.MustCompile(`^[A-Z]{1,32}$`)
	pathPattern       = regexp.MustCompile(`^/[!-"$->@-~]*$`)
)

// checkIdentifier allows the names of routes, pools and services.
func checkIdentifier(s string) string {
	if identifierPattern.MatchString(s) {
		return ""
	}
	return "1 to 64 letters, digits, dots, hyphens and underscores that start with a letter or digit"
}

// checkHost allows a checkHost name or an IPv4 address.
func checkHost(s string) string {
	if len(s) <= maxHostBytes && hostPattern.MatchString(s) {
		return ""
	}
	return "a host name without a port"
}

// checkMethod allows the name of an HTTP checkMethod.
func checkMethod(s string) string {
	if methodPattern.MatchString(s) {
		return ""
	}
	return "an HTTP method in capital letters"
}

// checkPathPrefix allows an absolute path in the form that requests are matched in.
func checkPathPrefix(s string) string {
	if len(s) <= maxPathPrefixBytes && pathPattern.MatchString(s) && !strings.Contains(s, "//") {
		return ""
	}
	return fmt.Sprintf("a path of at most %d printable ASCII characters that starts with a slash, "+
		"without ?, # and empty segments", maxPathPrefixBytes)
}
