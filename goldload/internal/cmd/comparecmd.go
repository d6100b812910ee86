package cmd

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"time"

	"goldcreststand.example/goldload/internal/model"
	"goldcreststand.example/lib/cli"
)

// compareFlags are the flags of the compare command.
type compareFlags struct {
	comparison string
	deployment string
	options    model.Options
}

func newCompareCmd(cfg *Config) *cli.Command {
	var f compareFlags
	return &cli.Command{
		Name:  "compare",
		Short: "simulate policies and baselines in virtual time and compare them",
		Flags: func(fs *flag.FlagSet) {
			fs.StringVar(&f.comparison, "section", "all", "comparison to run: route, shares, queue or all")
			fs.StringVar(&f.deployment, "deployment", "all", "service to simulate: inventory, dispatch, checkin, badging or all")
			fs.DurationVar(&f.options.Duration, "time", 30*time.Second, "virtual duration of each run")
			fs.DurationVar(&f.options.Deadline, "deadline", 250*time.Millisecond, "deadline of a call")
			fs.Uint64Var(&f.options.Seed, "seed", 1, "seed of the random numbers")
			fs.IntVar(&f.options.Workers, "workers", 2, "number of concurrent runs")
		},
		Run: func(context.Context, []string) error { return cfg.runCompareCmd(f) },
	}
}

func (cfg *Config) runCompareCmd(f compareFlags) error {
	f.options.Deployments = model.Deployments()
	if f.deployment != "all" {
		f.options.Deployments = slices.DeleteFunc(f.options.Deployments, func(d model.Deployment) bool { return d.Name != f.deployment })
	}
	if len(f.options.Deployments) == 0 {
		return cli.Exit(cli.ExitUsage, fmt.Errorf("unknown deployment %q", f.deployment))
	}
	comparisons := model.Comparisons()
	if f.comparison != "all" {
		comparisons = []string{f.comparison}
	}
	for _, name := range comparisons {
		if err := model.Compare(cfg.Out, name, f.options); err != nil {
			return err
		}
	}
	return nil
}
