package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"

	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/cli"
	"goldcreststand.example/lib/sheet"
	"goldcreststand.example/schema/wire"
)

// outputFlags are the flags that select the output format.
type outputFlags struct {
	output string
}

func (f *outputFlags) register(fs *flag.FlagSet, forms string) {
	fs.StringVar(&f.output, "output", "", "output format: "+forms)
}

type getFlags struct {
	target
	outputFlags
}

func newGetCmd(cfg *Config) *cli.Command {
	var f getFlags
	return &cli.Command{
		Name:  "get",
		Short: "print a routing table",
		Flags: func(fs *flag.FlagSet) {
			f.target.register(fs)
			f.outputFlags.register(fs, "sheet (default), table or json")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runGetCmd(ctx, f) },
	}
}

func (cfg *Config) runGetCmd(ctx context.Context, f getFlags) error {
	t, _, err := f.read(ctx)
	if err != nil {
		return err
	}
	switch f.output {
	case "", "sheet":
		return sheet.Write(cfg.Out, t)
	case "json":
		return printJSON(cfg.Out, wire.FromTable(t))
	case "table":
		return printTable(cfg.Out, t)
	default:
		return usagef("unknown output %q", f.output)
	}
}

func printTable(w io.Writer, t *table.Table) error {
	rows := newTextTable("KIND", "NAME", "WEIGHT", "LIMIT", "STATE", "CHANGED", "AUTHOR")
	for _, r := range t.Rows {
		limit := "none"
		if r.Limit != table.NoLimit {
			limit = fmt.Sprint(r.Limit)
		}
		rows.add(r.Kind, r.Name, r.Weight, limit, r.State, r.Changed, r.Author)
	}
	if _, err := fmt.Fprintf(w, "service %s, revision %d\n", t.Service, t.Revision); err != nil {
		return err
	}
	return rows.print(w)
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
