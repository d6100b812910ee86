package cmd

import (
	"context"
	"flag"
	"fmt"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/cli"
	"goldcreststand.example/schema/wire"
)

type moveFlags struct {
	target
	authorFlags
	waitFlags
	from           string
	to             string
	timeToDeadline time.Duration
}

func newMoveCmd(cfg *Config) *cli.Command {
	var f moveFlags
	return &cli.Command{
		Name:  "move",
		Short: "start a version rollout; it is done or rolled back by its deadline",
		Flags: func(fs *flag.FlagSet) {
			f.target.register(fs)
			f.authorFlags.register(fs)
			f.waitFlags.register(fs)
			fs.StringVar(&f.from, "from", "", "current version")
			fs.StringVar(&f.to, "to", "", "new version")
			fs.DurationVar(&f.timeToDeadline, "by", time.Hour, "time from now until the deadline")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runMoveCmd(ctx, f) },
	}
}

func (cfg *Config) runMoveCmd(ctx context.Context, f moveFlags) error {
	if err := f.check(); err != nil {
		return err
	}
	spec := table.RolloutSpec{Deadline: time.Now().Add(f.timeToDeadline).UTC().Truncate(time.Second)}
	if err := spec.From.UnmarshalText([]byte(f.from)); err != nil {
		return usagef("flag -from: %v", err)
	}
	if err := spec.To.UnmarshalText([]byte(f.to)); err != nil {
		return usagef("flag -to: %v", err)
	}
	if spec.From == spec.To || f.timeToDeadline <= 0 {
		return usagef("a rollout needs two versions and a deadline in the future")
	}
	t, err := f.edit(ctx, func(t *table.Table) (*table.Table, error) {
		st, err := f.rolloutStatus(ctx, t)
		if err != nil {
			return nil, err
		}
		if t.Rollout != nil && st.Outcome == wire.StatusOutcomeRunning {
			return nil, fmt.Errorf("rollout %d from %s to %s is still running", t.Rollout.Attempt, t.Rollout.From, t.Rollout.To)
		}
		return t.StartRollout(spec, f.author, newEditID()), nil
	})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(cfg.Out, "%s: rollout %d from %s to %s until %s accepted as revision %d\n",
		t.Service, t.Rollout.Attempt, t.Rollout.From, t.Rollout.To, t.Rollout.Deadline.Format(time.RFC3339), t.Revision)
	return cfg.waitForRevision(ctx, f.waitFlags, t.Service, t.Revision)
}

// attemptOf returns the number of the newest rollout of the table, or 0 if there was none.
func attemptOf(t *table.Table) ident.Attempt {
	if t.Rollout == nil {
		return 0
	}
	return t.Rollout.Attempt
}
