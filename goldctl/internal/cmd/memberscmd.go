package cmd

import (
	"context"
	"flag"
	"fmt"

	"goldcreststand.example/lib/cli"
)

type membersFlags struct {
	adminFlags
	outputFlags
}

func newMembersCmd(cfg *Config) *cli.Command {
	var f membersFlags
	return &cli.Command{
		Name:  "members",
		Short: "print which instances are alive, suspect, dead or gone, as one instance sees them",
		Flags: func(fs *flag.FlagSet) {
			f.adminFlags.register(fs)
			f.outputFlags.register(fs, "table (default) or json")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runMembersCmd(ctx, f) },
	}
}

// runMembersCmd prints the members that the first responding instance knows.
func (cfg *Config) runMembersCmd(ctx context.Context, f membersFlags) error {
	for _, a := range f.fetchStatuses(ctx) {
		if a.err != nil {
			continue
		}
		if f.output == "json" {
			return printJSON(cfg.Out, a.status.Members)
		}
		g := newTextTable("INSTANCE", "STATE", "DOMAIN", "REGION", "TRAFFIC", "INCARNATION")
		for _, m := range a.status.Members {
			g.add(m.ID, m.State, m.Domain, m.Region, m.Traffic, m.Incarnation)
		}
		return g.print(cfg.Out)
	}
	return fmt.Errorf("no instance responded at %s", f.addresses)
}
