// Package conf loads settings from TOML files and reports every finding with its place.
package conf

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one fault of an input with its place.
type Finding struct {
	File string
	// Line and Column count from 1; 0 means that the place is not known.
	Line    int
	Column  int
	Message string
}

// Findings are the faults of an input, all reported together.
type Findings []Finding

var _ error = Findings(nil)

// Error returns one line for each finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// String returns the finding as file:line:column: message.
func (f Finding) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.File, f.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// sorted returns the findings in the order of their places.
func (f Findings) sorted() Findings {
	slices.SortFunc(f, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Message, b.Message))
	})
	return f
}
