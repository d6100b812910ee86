package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"

	"goldcreststand.example/lib/cli"
	"goldcreststand.example/schema/wire"
)

type statusFlags struct {
	adminFlags
	outputFlags
}

func newStatusCmd(cfg *Config) *cli.Command {
	var f statusFlags
	return &cli.Command{
		Name:  "status",
		Short: "print which revisions each instance has in force, and which calls it rejected and why",
		Flags: func(fs *flag.FlagSet) {
			f.adminFlags.register(fs)
			f.outputFlags.register(fs, "table (default) or json")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runStatusCmd(ctx, f) },
	}
}

func (cfg *Config) runStatusCmd(ctx context.Context, f statusFlags) error {
	results := f.fetchStatuses(ctx)
	statuses := make([]wire.View, 0, len(results))
	g := newTextTable("INSTANCE", "DOMAIN", "STATE", "SERVICE", "REVISION", "SERVING", "SERVERS", "SLOTS")
	unreachable := 0
	for _, a := range results {
		if a.err != nil {
			unreachable++
			g.add(a.address, "", "no response", "", "", "", "", "")
			continue
		}
		statuses = append(statuses, a.status)
		if len(a.status.Tables) == 0 {
			g.add(a.status.ID, a.status.Domain, a.status.State, "", "", "", "", "")
		}
		for _, t := range a.status.Tables {
			g.add(a.status.ID, a.status.Domain, a.status.State, t.Service, t.Revision, t.Serving, t.Servers, t.Slots)
		}
	}
	var err error
	if f.output == "json" {
		err = printJSON(cfg.Out, statuses)
	} else {
		err = printStatus(cfg.Out, g, statuses)
	}
	if err == nil && unreachable > 0 {
		err = fmt.Errorf("%d of %d instances did not respond", unreachable, len(results))
	}
	return err
}

// printStatus prints the services of the instances, followed by the rejected calls if there are any.
func printStatus(w io.Writer, services *textTable, statuses []wire.View) error {
	if err := services.print(w); err != nil {
		return err
	}
	g := newTextTable("INSTANCE", "SERVICE", "REJECTED", "CAUSE")
	for _, v := range statuses {
		for _, r := range v.Rejected {
			g.add(v.ID, r.Service, r.Calls, r.Cause)
		}
	}
	if len(g.lines) == 1 {
		return nil
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	return g.print(w)
}
