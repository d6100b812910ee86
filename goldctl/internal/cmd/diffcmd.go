package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/cli"
	"goldcreststand.example/lib/sheet"
)

type diffFlags struct {
	target
	file string
}

func newDiffCmd(cfg *Config) *cli.Command {
	var f diffFlags
	return &cli.Command{
		Name:  "diff",
		Short: "print what apply would change in a routing table",
		Flags: func(fs *flag.FlagSet) {
			f.register(fs)
			fs.StringVar(&f.file, "file", "table.csv", "sheet with the rows")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runDiffCmd(ctx, f) },
	}
}

func (cfg *Config) runDiffCmd(ctx context.Context, f diffFlags) error {
	name, err := f.name()
	if err != nil {
		return err
	}
	s, err := readSheet(f.file, name)
	if err != nil {
		return err
	}
	t, _, err := f.read(ctx)
	if err != nil {
		return err
	}
	for _, c := range table.Diff(t.Rows, s.Rows) {
		printRow(cfg.Out, "-", c.Old)
		printRow(cfg.Out, "+", c.New)
	}
	return nil
}

func printRow(w io.Writer, mark string, r *table.Row) {
	if r != nil {
		_, _ = fmt.Fprintf(w, "%s %s\n", mark, strings.Join(sheet.Fields(*r), ","))
	}
}
