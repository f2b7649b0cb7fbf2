package configfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is an error in a file.
type Problem struct {
	File string
	// Line and Column start at 1. Column counts bytes.
	Line   int
	Column int
	// Field is the path of the field, such as Routes[2].Deadline. It is empty for the whole file.
	Field string
	// Detail describes the error and what is allowed.
	Detail string
}

// Error implements error.
func (p Problem) Error() string {
	position := fmt.Sprintf("%s:%d:%d: ", p.File, p.Line, p.Column)
	if p.Field == "" {
		return position + p.Detail
	}
	return position + p.Field + ": " + p.Detail
}

// Problems lists the problems of one or several files.
type Problems []Problem

// Error implements error. The text has one problem per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, sorted by file and position, and nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	sorted := slices.Clone(ps)
	slices.SortStableFunc(sorted, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return sorted
}
