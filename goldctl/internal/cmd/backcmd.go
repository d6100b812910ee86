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

// runBackCmd stores the status "reverted", which takes precedence over all other statuses of the same rollout.
func (cfg *Config) runBackCmd(ctx context.Context, f backFlags) error {
	if err := f.check(); err != nil {
		return err
	}
	t, _, err := f.read(ctx)
	if err != nil {
		return err
	}
	if t.Rollout == nil {
		return fmt.Errorf("%s has had no version rollout", t.Service)
	}
	next := &wire.Status{Attempt: t.Rollout.Attempt, Outcome: wire.StatusOutcomeReverted, Reason: "rolled back by " + f.author}
	st, err := update(ctx, &f.target, f.statusPath(), plat.StatusWriteOutcome, func(old *wire.Status) (*wire.Status, error) {
		if old == nil || old.Attempt < next.Attempt {
			return next, nil
		}
		if old.Attempt > next.Attempt {
			return nil, fmt.Errorf("rollout %d has been followed by rollout %d", next.Attempt, old.Attempt)
		}
		if old.Outcome == wire.StatusOutcomeReverted {
			return nil, nil
		}
		next.Stage = old.Stage
		return next, nil
	})
	if err != nil {
		return err
	}
	if st != next {
		_, _ = fmt.Fprintf(cfg.Out, "%s: rollout %d is rolled back already: %s\n", t.Service, st.Attempt, st.Reason)
		return nil
	}
	_, _ = fmt.Fprintf(cfg.Out, "%s: rollout %d is rolled back\n", t.Service, st.Attempt)
	return nil
}
