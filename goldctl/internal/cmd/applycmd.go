package cmd

import (
	"context"
	"flag"
	"fmt"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/lib/cli"
	"goldcreststand.example/lib/plat"
)

type applyFlags struct {
	target
	authorFlags
	waitFlags
	file string
	base uint64
}

func newApplyCmd(cfg *Config) *cli.Command {
	var f applyFlags
	return &cli.Command{
		Name:  "apply",
		Short: "replace the rows of a routing table by those of a sheet; rejected if the table was edited since the sheet was read",
		Flags: func(fs *flag.FlagSet) {
			f.target.register(fs)
			f.authorFlags.register(fs)
			f.waitFlags.register(fs)
			fs.StringVar(&f.file, "file", "table.csv", "sheet with the rows")
			fs.Uint64Var(&f.base, "base", 0, "revision that the rows were read at, when the sheet does not name it")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runApplyCmd(ctx, f) },
	}
}

func (cfg *Config) runApplyCmd(ctx context.Context, f applyFlags) error {
	if err := f.check(); err != nil {
		return err
	}
	name, err := f.name()
	if err != nil {
		return err
	}
	s, err := readSheet(f.file, name)
	if err != nil {
		return err
	}
	base := s.Revision
	if base == 0 {
		base = ident.Revision(f.base)
	}
	old, tag, err := f.read(ctx)
	if err != nil {
		return err
	}
	if old.Revision != base {
		return conflictError(old, base)
	}
	next := old.ReplaceRows(s.Rows, f.author, newEditID())
	err = f.write(ctx, tag, next)
	if plat.ErrConflict.Has(err) {
		if now, _, rerr := f.read(ctx); rerr == nil {
			return conflictError(now, base)
		}
	}
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(cfg.Out, "%s: accepted as revision %d\n", next.Service, next.Revision)
	return cfg.waitForRevision(ctx, f.waitFlags, name, next.Revision)
}
