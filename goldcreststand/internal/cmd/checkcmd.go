package cmd

import (
	"context"
	"flag"
	"fmt"

	"goldcreststand.example/lib/cli"
)

func newCheckCmd(cfg *Config) *cli.Command {
	var file string
	return &cli.Command{
		Name:  "check",
		Short: "check a settings file and report every finding",
		Flags: func(fs *flag.FlagSet) {
			fs.StringVar(&file, "settings", "goldcreststand.toml", "settings file")
		},
		Run: func(context.Context, []string) error { return cfg.runCheckCmd(file) },
	}
}

func (cfg *Config) runCheckCmd(file string) error {
	if _, err := loadSettings(file); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(cfg.Out, "%s: no findings\n", file)
	return nil
}
