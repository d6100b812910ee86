package cmd

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// textTable is text output in aligned columns.
type textTable struct {
	lines []string
}

func newTextTable(head ...string) *textTable {
	return &textTable{lines: []string{strings.Join(head, "\t")}}
}

func (t *textTable) add(cells ...any) {
	s := make([]string, len(cells))
	for i, c := range cells {
		s[i] = fmt.Sprint(c)
	}
	t.lines = append(t.lines, strings.Join(s, "\t"))
}

func (t *textTable) print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, l := range t.lines {
		if _, err := fmt.Fprintln(tw, l); err != nil {
			return err
		}
	}
	return tw.Flush()
}
