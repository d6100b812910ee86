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
		Short: "print which instances are alive, suspect, dead or left, as one instance sees them",
		Flags: func(fs *flag.FlagSet) {
			f.adminFlags.register(fs)
			f.outputFlags.register(fs, "table (default) or json")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runMembersCmd(ctx, f) },
	}
}

// runMembersCmd prints the members that the first responding instance knows.
func (cfg *Config) runMembersCmd(ctx context.Context, f membersFlags) error {
	for _, r := range f.fetchStatuses(ctx) {
		if r.err != nil {
			continue
		}
		if f.output == "json" {
			return printJSON(cfg.Out, r.status.Members)
		}
		members := newTextTable("INSTANCE", "STATE", "DOMAIN", "REGION", "TRAFFIC", "INCARNATION")
		for _, m := range r.status.Members {
			members.add(m.ID, m.State, m.Domain, m.Region, m.Traffic, m.Incarnation)
		}
		return members.print(cfg.Out)
	}
	return fmt.Errorf("no instance responded at %s", f.addresses)
}
