package main

import (
	"errors"
	"io/fs"

	"github.com/alecthomas/kong"

	"jayfold.dev/jayfold/internal/edge/configfile"
	"jayfold.dev/jayfold/internal/edge/platform"
)

// The exit codes of the commands.
const (
	exitSuccess      = 0
	exitFailure      = 1
	exitInvalidInput = 2
	exitConflict     = 3
)

// exitCode returns the exit code for the result of a command.
func exitCode(err error) int {
	var (
		conflict platform.RevisionConflict
		problems configfile.Problems
		path     *fs.PathError
		usage    *kong.ParseError
	)
	switch {
	case err == nil:
		return exitSuccess
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &problems), errors.As(err, &path), errors.As(err, &usage):
		return exitInvalidInput
	default:
		return exitFailure
	}
}
