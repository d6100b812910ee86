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

// compareArgs are the arguments of the compare command.
type compareArgs struct {
	section    string
	deployment string
	options    model.Options
}

func newCompareCmd(cfg *Config) *cli.Command {
	var args compareArgs
	return &cli.Command{
		Name:  "compare",
		Short: "compare policies with their baselines in virtual time",
		Flags: func(fs *flag.FlagSet) {
			fs.StringVar(&args.section, "section", "all", "what to compare: route, shares, queue or all")
			fs.StringVar(&args.deployment, "deployment", "all", "service to simulate: inventory, dispatch, checkin, badging or all")
			fs.DurationVar(&args.options.Time, "time", 30*time.Second, "virtual time of each run")
			fs.DurationVar(&args.options.Deadline, "deadline", 250*time.Millisecond, "deadline of a call")
			fs.Uint64Var(&args.options.Seed, "seed", 1, "seed of the random numbers")
			fs.IntVar(&args.options.Workers, "workers", 2, "runs at the same time")
		},
		Run: func(context.Context, []string) error { return cfg.runCompareCmd(args) },
	}
}

func (cfg *Config) runCompareCmd(args compareArgs) error {
	args.options.Deployments = model.Deployments()
	if args.deployment != "all" {
		args.options.Deployments = slices.DeleteFunc(args.options.Deployments, func(d model.Deployment) bool { return d.Name != args.deployment })
	}
	if len(args.options.Deployments) == 0 {
		return cli.Exit(cli.ExitUsage, fmt.Errorf("unknown deployment %q", args.deployment))
	}
	sections := model.Sections()
	if args.section != "all" {
		sections = []string{args.section}
	}
	for _, s := range sections {
		if err := model.Compare(cfg.Out, s, args.options); err != nil {
			return err
		}
	}
	return nil
}
