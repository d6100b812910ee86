package cmd

import (
	"context"
	"flag"
	"fmt"

	"github.com/zeebo/errs"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/cli"
)

type domainFlags struct {
	target
	authorFlags
	waitFlags
	name  string
	state string
}

func newDomainCmd(cfg *Config) *cli.Command {
	var f domainFlags
	return &cli.Command{
		Name:  "domain",
		Short: "take a failure domain out of service or back, for one service or for all",
		Flags: func(fs *flag.FlagSet) {
			f.target.register(fs)
			f.authorFlags.register(fs)
			f.waitFlags.register(fs)
			fs.StringVar(&f.name, "name", "", "name of the failure domain")
			fs.StringVar(&f.state, "state", "", "active or out")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runDomainCmd(ctx, f) },
	}
}

func (cfg *Config) runDomainCmd(ctx context.Context, f domainFlags) error {
	if err := f.check(); err != nil {
		return err
	}
	state, err := table.StateString(f.state)
	if err != nil {
		return usagef("flag -state: %v", err)
	}
	services := []string{f.service}
	if f.service == "" {
		if services, err = f.services(ctx); err != nil {
			return err
		}
	}
	var group errs.Group
	accepted := make(map[ident.ServiceName]ident.Revision)
	for _, s := range services {
		t := target{platformFlags: f.platformFlags, service: s}
		next, err := t.edit(ctx, func(t *table.Table) (*table.Table, error) {
			row, ok := t.Find(table.KindDomain, f.name)
			if !ok {
				row = table.Row{Kind: table.KindDomain, Name: f.name, Weight: table.DefaultWeight}
			}
			row.State = state
			return replaceRow(t, row, f.author)
		})
		if err != nil {
			group.Add(fmt.Errorf("%s: %w", s, err))
			continue
		}
		accepted[next.Service] = next.Revision
		_, _ = fmt.Fprintf(cfg.Out, "%s: failure domain %s is %s in revision %d\n", s, f.name, state, next.Revision)
	}
	for s, rev := range accepted {
		group.Add(cfg.waitForRevision(ctx, f.waitFlags, s, rev))
	}
	return group.Err()
}
