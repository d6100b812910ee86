package cmd

import (
	"context"

	"goldcreststand.example/lib/cli"
	"goldcreststand.example/lib/sheet"
)

func newGetCmd(cfg *Config) *cli.Command {
	var t target
	return &cli.Command{
		Name:  "get",
		Short: "print the rows of a routing table as a sheet",
		Flags: t.register,
		Run:   func(ctx context.Context, _ []string) error { return cfg.runGetCmd(ctx, t) },
	}
}

func (cfg *Config) runGetCmd(ctx context.Context, t target) error {
	tb, _, err := t.read(ctx)
	if err != nil {
		return err
	}
	return sheet.Write(cfg.Out, tb.Rows)
}
