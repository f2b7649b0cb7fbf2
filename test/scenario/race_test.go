//go:build race

package scenario

// buildFlags builds the commands as the tests are built.
var buildFlags = []string{"-race"}
