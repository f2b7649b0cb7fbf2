package configfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one thing that is wrong in a file.
type Problem struct {
	File string
	// Line and Column count from 1; Column counts bytes.
	Line   int
	Column int
	// Field is the path of the field, such as Routes[2].Deadline; empty for the whole file.
	Field string
	// Detail says what is wrong and what is allowed.
	Detail string
}

// Error implements error.
func (p Problem) Error() string {
	place := fmt.Sprintf("%s:%d:%d: ", p.File, p.Line, p.Column)
	if p.Field == "" {
		return place + p.Detail
	}
	return place + p.Field + ": " + p.Detail
}

// Problems are all problems of one or several files.
type Problems []Problem

// Error implements error with one problem per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems in file order as an error, and nil when there are none.
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
