package tablesfile

import (
	"fmt"
	"regexp"
	"strings"
)

// The maximum lengths of values in bytes.
const (
	maxPathPrefixBytes = 1024
	// maxHostBytes is the limit for DNS names.
	maxHostBytes = 253
)

var (
	identifierPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	hostPattern       = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9.-]*[A-Za-z0-9])?$`)
	methodPattern     = regexp.MustCompile(`^[A-Z]{1,32}$`)
	pathPattern       = regexp.MustCompile(`^/[!-"$->@-~]*$`)
)

// checkIdentifier accepts names of routes, pools and services. Like the other checks it returns "" if s is allowed, and otherwise
// a description of the allowed values.
func checkIdentifier(s string) string {
	if identifierPattern.MatchString(s) {
		return ""
	}
	return "1 to 64 letters, digits, dots, hyphens and underscores that start with a letter or digit"
}

// checkHost accepts a host name or an IPv4 address.
func checkHost(s string) string {
	if len(s) <= maxHostBytes && hostPattern.MatchString(s) {
		return ""
	}
	return "a host name without a port"
}

// checkMethod accepts the name of an HTTP method.
func checkMethod(s string) string {
	if methodPattern.MatchString(s) {
		return ""
	}
	return "an HTTP method in capital letters"
}

// checkPathPrefix accepts an absolute path in ASCII without a query, a fragment or empty segments.
func checkPathPrefix(s string) string {
	if len(s) <= maxPathPrefixBytes && pathPattern.MatchString(s) && !strings.Contains(s, "//") {
		return ""
	}
	return fmt.Sprintf("a path of at most %d printable ASCII characters that starts with a slash, "+
		"without ?, # and empty segments", maxPathPrefixBytes)
}
