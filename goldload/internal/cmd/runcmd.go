package cmd

import (
	"context"
	"flag"
	"fmt"
	"time"

	"goldcreststand.example/goldload/internal/load"
	"goldcreststand.example/lib/cli"
)

func newRunCmd(cfg *Config) *cli.Command {
	var plan load.Plan
	return &cli.Command{
		Name:  "run",
		Short: "call a service at a fixed rate and print the latencies",
		Flags: func(fs *flag.FlagSet) {
			fs.StringVar(&plan.Instance, "instance", "127.0.0.1:8000", "traffic address of any instance")
			fs.StringVar(&plan.Service, "service", "inventory", "name of the service")
			fs.IntVar(&plan.Rate, "rate", 200, "calls per second")
			fs.DurationVar(&plan.Time, "time", 5*time.Second, "time to run")
			fs.DurationVar(&plan.Timeout, "timeout", time.Second, "deadline of a call")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runRunCmd(ctx, plan) },
	}
}

func (cfg *Config) runRunCmd(ctx context.Context, plan load.Plan) error {
	r, err := load.Run(ctx, plan)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprint(cfg.Out, r)
	return nil
}
