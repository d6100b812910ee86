// Package conf loads settings from TOML files and reports every invalid setting with its position.
package conf

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in an input file, with its position.
type Finding struct {
	File string
	// Line and Column start at 1; 0 means that the position is unknown.
	Line    int
	Column  int
	Message string
}

// Findings are all errors found in an input.
type Findings []Finding

var _ error = Findings(nil)

// Error returns the findings, one per line.
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

// sorted sorts the findings in place by position and returns them.
func (f Findings) sorted() Findings {
	slices.SortFunc(f, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Message, b.Message))
	})
	return f
}
