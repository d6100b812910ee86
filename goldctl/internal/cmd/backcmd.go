package cmd

import (
	"context"
	"flag"
	"fmt"

	"goldcreststand.example/lib/cli"
	"goldcreststand.example/lib/plat"
	"goldcreststand.example/schema/wire"
)

type backFlags struct {
	target
	authorFlags
}

func newBackCmd(cfg *Config) *cli.Command {
	var f backFlags
	return &cli.Command{
		Name:  "back",
		Short: "roll a version rollout back",
		Flags: func(fs *flag.FlagSet) {
			f.target.register(fs)
			f.authorFlags.register(fs)
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runBackCmd(ctx, f) },
	}
}

// runBackCmd stores the status "reverted", which wins over every other status of the same rollout.
func (cfg *Config) runBackCmd(ctx context.Context, f backFlags) error {
	if err := f.check(); err != nil {
		return err
	}
	var err error
	for range maxTries {
		if err = cfg.tryBack(ctx, f); !plat.ErrConflict.Has(err) {
			return err
		}
	}
	return cli.Exit(cli.ExitConflict, err)
}

func (cfg *Config) tryBack(ctx context.Context, f backFlags) error {
	t, _, err := f.read(ctx)
	if err != nil {
		return err
	}
	if t.Move == nil {
		return fmt.Errorf("%s has had no version rollout", t.Service)
	}
	st, tag, err := f.readStatus(ctx)
	if err != nil {
		return err
	}
	if st.Attempt == t.Move.Attempt && st.Outcome == wire.StatusOutcomeReverted {
		_, _ = fmt.Fprintf(cfg.Out, "%s: rollout %d is rolled back already: %s\n", t.Service, st.Attempt, st.Reason)
		return nil
	}
	next := wire.Status{Attempt: t.Move.Attempt, Outcome: wire.StatusOutcomeReverted, Stage: st.Stage, Reason: "rolled back by " + f.author}
	if err := f.writeStatus(ctx, tag, &next); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(cfg.Out, "%s: rollout %d is rolled back\n", t.Service, next.Attempt)
	return nil
}
