package cmd

import (
	"context"
	"flag"
	"fmt"

	"goldcreststand.example/lib/cli"
)

type membersFlags struct {
	fleetFlags
	outputFlags
}

func newMembersCmd(cfg *Config) *cli.Command {
	var f membersFlags
	return &cli.Command{
		Name:  "members",
		Short: "print which instances are alive, suspect, dead or gone, as one instance sees them",
		Flags: func(fs *flag.FlagSet) {
			f.fleetFlags.register(fs)
			f.outputFlags.register(fs, "table (default) or json")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runMembersCmd(ctx, f) },
	}
}

// runMembersCmd prints what the first instance that answers knows.
func (cfg *Config) runMembersCmd(ctx context.Context, f membersFlags) error {
	for _, a := range f.look(ctx) {
		if a.err != nil {
			continue
		}
		if f.output == "json" {
			return printJSON(cfg.Out, a.view.Members)
		}
		g := newGrid("INSTANCE", "STATE", "DOMAIN", "REGION", "TRAFFIC", "INCARNATION")
		for _, m := range a.view.Members {
			g.add(m.ID, m.State, m.Domain, m.Region, m.Traffic, m.Incarnation)
		}
		return g.print(cfg.Out)
	}
	return fmt.Errorf("no instance answered at %s", f.admin)
}
