package cmd

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/goldload/internal/load"
	"goldcreststand.example/lib/cli"
)

type runFlags struct {
	plan      load.Plan
	instances string
	service   string
	tenants   string
	writes    uint
	forbid    string
	timeline  bool
}

func newRunCmd(cfg *Config) *cli.Command {
	var f runFlags
	return &cli.Command{
		Name:  "run",
		Short: "call a service and print the verdicts and latencies of the calls by tenant",
		Flags: f.register,
		Run:   func(ctx context.Context, _ []string) error { return cfg.runRunCmd(ctx, f) },
	}
}

func (f *runFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.instances, "instances", "127.0.0.1:8000", "traffic addresses of instances at which the service is looked up, separated by commas")
	fs.StringVar(&f.service, "service", "inventory", "name of the service")
	fs.StringVar(&f.tenants, "tenants", "", "tenants to which calls are assigned in turn, separated by commas")
	fs.UintVar(&f.writes, "writes", 200, "share of calls that are not idempotent, per mille")
	fs.IntVar(&f.plan.Rate, "rate", 200, "calls per second outside bursts")
	fs.DurationVar(&f.plan.Duration, "time", 5*time.Second, "duration of the run")
	fs.DurationVar(&f.plan.Timeout, "timeout", time.Second, "deadline of a call")
	fs.DurationVar(&f.plan.BurstInterval, "every", 0, "time from one burst to the next; 0 for no bursts")
	fs.DurationVar(&f.plan.BurstLength, "length", 300*time.Millisecond, "length of a burst")
	fs.IntVar(&f.plan.BurstFactor, "factor", 3, "factor by which the rate is multiplied in a burst")
	fs.Uint64Var(&f.plan.Seed, "seed", 1, "seed of the random numbers")
	fs.BoolVar(&f.timeline, "timeline", false, "print the seconds in which a call did not get a complete response")
	fs.StringVar(&f.forbid, "forbid", "", "verdicts that make the run exit with code 1, separated by commas, such as wrong,broken")
}

func (cfg *Config) runRunCmd(ctx context.Context, f runFlags) error {
	f.plan.Instances = strings.Split(f.instances, ",")
	f.plan.WriteShare = ident.Share(f.writes)
	if err := f.plan.Service.UnmarshalText([]byte(f.service)); err != nil {
		return cli.Exit(cli.ExitUsage, err)
	}
	if f.tenants != "" {
		for _, s := range strings.Split(f.tenants, ",") {
			var t ident.TenantName
			if err := t.UnmarshalText([]byte(s)); err != nil {
				return cli.Exit(cli.ExitUsage, err)
			}
			f.plan.Tenants = append(f.plan.Tenants, t)
		}
	}
	if err := f.plan.Validate(); err != nil {
		return cli.Exit(cli.ExitUsage, err)
	}
	forbidden, err := f.forbiddenVerdicts()
	if err != nil {
		return cli.Exit(cli.ExitUsage, err)
	}
	r, err := load.Run(ctx, f.plan)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprint(cfg.Out, r)
	if f.timeline {
		_, _ = fmt.Fprint(cfg.Out, r.Timeline())
	}
	for _, v := range forbidden {
		if n := r.Count(v); n > 0 {
			return fmt.Errorf("%d calls ended with the verdict %s", n, v)
		}
	}
	return nil
}

func (f *runFlags) forbiddenVerdicts() ([]load.Verdict, error) {
	if f.forbid == "" {
		return nil, nil
	}
	var out []load.Verdict
	for _, s := range strings.Split(f.forbid, ",") {
		v, err := load.VerdictString(s)
		if err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	return out, nil
}
