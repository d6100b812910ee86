package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"

	"goldcreststand.example/lib/cli"
	"goldcreststand.example/lib/sheet"
)

type applyFlags struct {
	target
	file   string
	author string
}

func newApplyCmd(cfg *Config) *cli.Command {
	var f applyFlags
	return &cli.Command{
		Name:  "apply",
		Short: "replace the rows of a routing table by those of a sheet",
		Flags: func(fs *flag.FlagSet) {
			f.register(fs)
			fs.StringVar(&f.file, "file", "table.csv", "sheet with the rows")
			fs.StringVar(&f.author, "author", os.Getenv("USER"), "operator who makes the edit")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runApplyCmd(ctx, f) },
	}
}

func (cfg *Config) runApplyCmd(ctx context.Context, f applyFlags) error {
	in, err := os.Open(f.file)
	if err != nil {
		return cli.Exit(cli.ExitUsage, err)
	}
	defer func() { _ = in.Close() }()
	rows, err := sheet.Read(f.file, in)
	if err != nil {
		return cli.Exit(cli.ExitUsage, err)
	}
	t, tag, err := f.read(ctx)
	if err != nil {
		return err
	}
	t.Rows, t.Author, t.Edit = rows, f.author, newEditID()
	t.Revision++
	if err := f.write(ctx, tag, t); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(cfg.Out, "%s: revision %d\n", t.Service, t.Revision)
	return nil
}
