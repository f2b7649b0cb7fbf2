//go:build !race

package scenario

// buildFlags holds the flags with which the commands are built. They are built with the race detector if the tests are.
var buildFlags []string
