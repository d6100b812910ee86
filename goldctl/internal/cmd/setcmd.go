package cmd

import (
	"context"
	"flag"
	"fmt"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/cli"
)

// notSet is the default of numeric flags that the operator did not set.
const notSet = -1

type setFlags struct {
	target
	authorFlags
	waitFlags
	kind   string
	name   string
	weight int
	limit  int
	state  string
}

func newSetCmd(cfg *Config) *cli.Command {
	var f setFlags
	return &cli.Command{
		Name:  "set",
		Short: "change one row of a routing table; other operators' rows stay as they are",
		Flags: func(fs *flag.FlagSet) {
			f.target.register(fs)
			f.authorFlags.register(fs)
			f.waitFlags.register(fs)
			fs.StringVar(&f.kind, "kind", "server", "kind of the row: service, server, domain or version")
			fs.StringVar(&f.name, "name", "", "name of the row")
			fs.IntVar(&f.weight, "weight", notSet, "relative share of calls; a new row has 100")
			fs.IntVar(&f.limit, "limit", notSet, "largest number of calls in flight; 0 sets no limit")
			fs.StringVar(&f.state, "state", "", "active or out")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runSetCmd(ctx, f) },
	}
}

func (cfg *Config) runSetCmd(ctx context.Context, f setFlags) error {
	if err := f.check(); err != nil {
		return err
	}
	kind, err := table.KindString(f.kind)
	if err != nil {
		return cli.Exit(cli.ExitUsage, err)
	}
	t, err := f.edit(ctx, func(t *table.Table) (*table.Table, error) {
		row, ok := t.Find(kind, f.name)
		if !ok {
			row = table.Row{Kind: kind, Name: f.name, Weight: table.DefaultWeight}
		}
		if err := f.applyTo(&row); err != nil {
			return nil, err
		}
		return replaceRow(t, row, f.author)
	})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(cfg.Out, "%s: accepted as revision %d\n", t.Service, t.Revision)
	return cfg.waitForRevision(ctx, f.waitFlags, t.Service, t.Revision)
}

// applyTo sets the fields of the row for which the operator set a flag.
func (f *setFlags) applyTo(r *table.Row) error {
	if f.weight != notSet {
		r.Weight = ident.Weight(min(max(f.weight, 0), int(ident.MaxWeight)+1))
	}
	if f.limit != notSet {
		r.Limit = ident.Slots(f.limit)
	}
	if f.state == "" {
		return nil
	}
	s, err := table.StateString(f.state)
	r.State = s
	return cli.Exit(cli.ExitUsage, err)
}

// replaceRow returns the table with one row added or replaced, or an error if the rows are invalid.
func replaceRow(t *table.Table, r table.Row, author string) (*table.Table, error) {
	rows := table.SetRow(t.Rows, r)
	for _, f := range table.Check(t.Service, rows) {
		return nil, usagef("row %s %s: %s", rows[f.Row].Kind, rows[f.Row].Name, f.Message)
	}
	return t.ReplaceRows(rows, author, newEditID()), nil
}
