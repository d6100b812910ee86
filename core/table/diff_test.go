package table_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/seeds"
	"goldcreststand.example/core/table"
)

func TestMain(m *testing.M) { os.Exit(seeds.Main(m)) }

func drawRows(t *rapid.T, label string) []table.Row {
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 8), 0, 8, rapid.ID).Draw(t, label)
	rows := make([]table.Row, len(names))
	for i, n := range names {
		rows[i] = table.Row{
			Kind:   table.KindServer,
			Name:   fmt.Sprintf("s%d", n),
			Weight: ident.Weight(rapid.Uint32Range(0, 2).Draw(t, "weight")),
		}
	}
	return rows
}

// Guards against losing the author of a change: the message about a conflict names who changed a row.
func TestReplaceRecordsAuthors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := &table.Table{Service: "inventory"}
		author := make(map[string]string)
		for i := range rapid.IntRange(1, 6).Draw(t, "edits") {
			name := fmt.Sprintf("op%d", i)
			rows := drawRows(t, "rows")
			for _, c := range table.Diff(tb.Rows, rows) {
				author[c.Row().Name] = name
			}
			tb = tb.ReplaceRows(rows, name, "e")
		}
		present := make(map[string]bool)
		for _, r := range tb.Rows {
			require.Equal(t, author[r.Name], r.Author)
			present[r.Name] = true
		}
		last := make(map[string]string)
		for _, r := range tb.Removed {
			last[r.Name] = r.Author
		}
		for n, a := range author {
			if !present[n] {
				require.Equal(t, a, last[n])
			}
		}
	})
}
