package sheet_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/seeds"
	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/conf"
	"goldcreststand.example/lib/sheet"
)

func TestMain(m *testing.M) { os.Exit(seeds.Main(m)) }

// Guards against rows that change when a sheet is written and read back.
func TestWriteThenReadKeepsRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 30).Draw(t, "rows")
		in := &table.Table{Service: "inventory", Revision: ident.Revision(rapid.Uint32().Draw(t, "revision"))}
		for i := range n {
			in.Rows = append(in.Rows, table.Row{
				Kind:   table.KindServer,
				Name:   fmt.Sprintf("s%d", i),
				Weight: ident.Weight(rapid.Uint32Range(0, 10000).Draw(t, "weight")),
				Limit:  ident.Slots(rapid.Int32Range(0, 1000).Draw(t, "limit")),
				State:  rapid.SampledFrom(table.StateValues()).Draw(t, "state"),
			})
		}
		var b bytes.Buffer
		require.NoError(t, sheet.Write(&b, in))
		out, err := sheet.Read("f", "inventory", &b)
		require.NoError(t, err)
		require.Equal(t, in.Rows, out.Rows)
		require.Equal(t, in.Revision, out.Revision)
	})
}

// Guards against a reader that stops at the first finding or reports findings without line and column.
func TestReadReportsAllFindings(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{name: "empty", text: "", want: []string{"f:1:1: sheet has no header row"}},
		{name: "header", text: "a,b\n", want: []string{"f:1:1: first row is not"}},
		{
			name: "values",
			text: "kind,name,weight,limit,state\nserver,a,x,0,active\nshop,b,1,-1,gone\ndomain,d\n",
			want: []string{"f:2:10: \"x\"", "f:3:1: shop", "f:3:10: \"-1\"", "f:3:13: gone", "f:4:1: row has 2"},
		},
		{
			name: "rows",
			text: "kind,name,weight,limit,state\nserver,a,1,0,active\nserver,a,1,0,active\nservice,x,1,0,out\n",
			want: []string{"f:3:8: server a stands in row 1", "f:4:9: row of kind service", "f:4:15: a service cannot be out"},
		},
		{name: "quote", text: "kind,name,weight,limit,state\n\"a,b\n", want: []string{"f:2:6: "}},
		{name: "service", text: "# service badging revision 3\nkind,name,weight,limit,state\n", want: []string{"f:1:1: sheet is for service badging"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := sheet.Read("f", "inventory", strings.NewReader(tt.text))
			var found conf.Findings
			require.ErrorAs(t, err, &found)
			require.Len(t, found, len(tt.want), "%v", found)
			for i, w := range tt.want {
				require.Contains(t, found[i].String(), w)
			}
		})
	}
}
