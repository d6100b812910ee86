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
	services := newTextTable("INSTANCE", "DOMAIN", "STATE", "SERVICE", "REVISION", "SERVING", "SERVERS", "SLOTS")
	unreachable := 0
	for _, r := range results {
		if r.err != nil {
			unreachable++
			services.add(r.address, "", "no response", "", "", "", "", "")
			continue
		}
		statuses = append(statuses, r.status)
		if len(r.status.Tables) == 0 {
			services.add(r.status.ID, r.status.Domain, r.status.State, "", "", "", "", "")
		}
		for _, t := range r.status.Tables {
			services.add(r.status.ID, r.status.Domain, r.status.State, t.Service, t.Revision, t.Serving, t.Servers, t.Slots)
		}
	}
	var err error
	if f.output == "json" {
		err = printJSON(cfg.Out, statuses)
	} else {
		err = printStatus(cfg.Out, services, statuses)
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
	rejections := newTextTable("INSTANCE", "SERVICE", "REJECTED", "CAUSE")
	for _, v := range statuses {
		for _, r := range v.Rejected {
			rejections.add(v.ID, r.Service, r.Calls, r.Cause)
		}
	}
	if len(rejections.lines) == 1 {
		return nil
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	return rejections.print(w)
}
