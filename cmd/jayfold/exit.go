package main

import (
	"errors"
	"io/fs"

	"github.com/alecthomas/kong"

	"jayfold.dev/jayfold/internal/edge/configfile"
	"jayfold.dev/jayfold/internal/edge/platform"
)

// The exit codes.
const (
	exitDone     = 0
	exitFailed   = 1
	exitUnusable = 2
	exitConflict = 3
)

// exitCode returns the exit code of a command that returned err.
func exitCode(err error) int {
	var (
		conflict platform.RevisionConflict
		problems configfile.Problems
		path     *fs.PathError
		usage    *kong.ParseError
	)
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &problems), errors.As(err, &path), errors.As(err, &usage):
		return exitUnusable
	default:
		return exitFailed
	}
}
