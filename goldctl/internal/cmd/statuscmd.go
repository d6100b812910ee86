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
	fleetFlags
	outputFlags
}

func newStatusCmd(cfg *Config) *cli.Command {
	var f statusFlags
	return &cli.Command{
		Name:  "status",
		Short: "print which revisions each instance has in force, and which calls it rejected and why",
		Flags: func(fs *flag.FlagSet) {
			f.fleetFlags.register(fs)
			f.outputFlags.register(fs, "table (default) or json")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runStatusCmd(ctx, f) },
	}
}

func (cfg *Config) runStatusCmd(ctx context.Context, f statusFlags) error {
	fl := f.look(ctx)
	views := make([]wire.View, 0, len(fl))
	g := newGrid("INSTANCE", "DOMAIN", "STATE", "SERVICE", "REVISION", "SERVING", "SERVERS", "SLOTS")
	silent := 0
	for _, a := range fl {
		if a.err != nil {
			silent++
			g.add(a.address, "", "no answer", "", "", "", "", "")
			continue
		}
		views = append(views, a.view)
		if len(a.view.Tables) == 0 {
			g.add(a.view.ID, a.view.Domain, a.view.State, "", "", "", "", "")
		}
		for _, t := range a.view.Tables {
			g.add(a.view.ID, a.view.Domain, a.view.State, t.Service, t.Revision, t.Serving, t.Servers, t.Slots)
		}
	}
	var err error
	if f.output == "json" {
		err = printJSON(cfg.Out, views)
	} else {
		err = printStatus(cfg.Out, g, views)
	}
	if err == nil && silent > 0 {
		err = fmt.Errorf("%d of %d instances gave no answer", silent, len(fl))
	}
	return err
}

// printStatus prints what is in force, and below it the rejected calls if there are any.
func printStatus(w io.Writer, inForce *grid, views []wire.View) error {
	if err := inForce.print(w); err != nil {
		return err
	}
	g := newGrid("INSTANCE", "SERVICE", "REJECTED", "CAUSE")
	for _, v := range views {
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
