package cmd

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// grid is a table for a terminal.
type grid struct {
	lines []string
}

func newGrid(head ...string) *grid {
	return &grid{lines: []string{strings.Join(head, "\t")}}
}

func (g *grid) add(cells ...any) {
	s := make([]string, len(cells))
	for i, c := range cells {
		s[i] = fmt.Sprint(c)
	}
	g.lines = append(g.lines, strings.Join(s, "\t"))
}

func (g *grid) print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, l := range g.lines {
		if _, err := fmt.Fprintln(tw, l); err != nil {
			return err
		}
	}
	return tw.Flush()
}
