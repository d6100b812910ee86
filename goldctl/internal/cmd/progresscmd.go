package cmd

import (
	"context"
	"flag"
	"fmt"
	"time"

	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/cli"
	"goldcreststand.example/schema/wire"
)

type progressFlags struct {
	target
	outputFlags
	wait    bool
	timeout time.Duration
}

func newProgressCmd(cfg *Config) *cli.Command {
	var f progressFlags
	return &cli.Command{
		Name:  "progress",
		Short: "print the state of a version rollout",
		Flags: func(fs *flag.FlagSet) {
			f.target.register(fs)
			f.outputFlags.register(fs, "text (default) or json")
			fs.BoolVar(&f.wait, "wait", false, "wait until the rollout is done or rolled back; exit code 1 when it was rolled back")
			fs.DurationVar(&f.timeout, "timeout", time.Hour, "longest time to wait")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runProgressCmd(ctx, f) },
	}
}

func (cfg *Config) runProgressCmd(ctx context.Context, f progressFlags) error {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var last wire.Status
	for {
		t, _, err := f.read(ctx)
		if err != nil {
			return err
		}
		if t.Rollout == nil {
			return fmt.Errorf("%s has had no version rollout", t.Service)
		}
		st, err := f.rolloutStatus(ctx, t)
		if err != nil {
			return err
		}
		if st != last {
			if err := cfg.printProgress(f, t, st); err != nil {
				return err
			}
			last = st
		}
		if !f.wait || st.Outcome != wire.StatusOutcomeRunning {
			return rolledBackError(f, st)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return cli.Exit(cli.ExitTimeout, fmt.Errorf("rollout %d is still running", st.Attempt))
		}
	}
}

// rolledBackError returns an error if the command waited for the rollout and it was rolled back.
func rolledBackError(f progressFlags, st wire.Status) error {
	if f.wait && st.Outcome == wire.StatusOutcomeReverted {
		return fmt.Errorf("rollout %d was rolled back: %s", st.Attempt, st.Reason)
	}
	return nil
}

func (cfg *Config) printProgress(f progressFlags, t *table.Table, st wire.Status) error {
	if f.output == "json" {
		return printJSON(cfg.Out, st)
	}
	line := fmt.Sprintf("%s: rollout %d from %s to %s until %s: %s, stage %d",
		t.Service, st.Attempt, t.Rollout.From, t.Rollout.To, t.Rollout.Deadline.Format(time.RFC3339), st.Outcome, st.Stage)
	if st.Reason != "" {
		line += ": " + st.Reason
	}
	_, err := fmt.Fprintln(cfg.Out, line)
	return err
}
