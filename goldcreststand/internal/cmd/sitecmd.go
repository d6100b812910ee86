package cmd

import (
	"context"
	"expvar"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/cross"
	"goldcreststand.example/goldcreststand/internal/edge"
	"goldcreststand.example/lib/cli"
	"goldcreststand.example/lib/logs"
	site "goldcreststand.example/platform"
)

// memoryLimitFraction is the fraction of the machine's memory above which the garbage collector runs more
// often. Bytes that were received and not yet read take memory too.
const memoryLimitFraction = 0.75

// programMemory is the memory in MB that is left for the program itself, which the limit does not count, and for what the
// collector has not returned yet.
const programMemory = 24

// memoryLimit returns the limit of the collector in bytes for a machine with the memory in MB.
func memoryLimit(machine int) int64 {
	mb := min(float64(machine)*memoryLimitFraction, max(float64(machine)/2, float64(machine-programMemory)))
	return int64(mb * (1 << 20))
}

// maxBytePrice is the largest price of a kilobyte between failure domains. It exceeds every target latency.
const maxBytePrice = time.Minute

func newSiteCmd(cfg *Config) *cli.Command {
	var file string
	var bytePrice time.Duration
	return &cli.Command{
		Name:  "site",
		Short: "serve callers on the users' platform, whose store holds the configuration",
		Flags: func(fs *flag.FlagSet) {
			fs.StringVar(&file, "settings", os.Getenv(site.SettingsVariable), "settings file of the platform")
			fs.DurationVar(&bytePrice, "byteprice", time.Duration(cross.DefaultBytePrice), "caller's time that a kilobyte between failure domains is worth")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runSiteCmd(ctx, file, bytePrice) },
	}
}

func (cfg *Config) runSiteCmd(ctx context.Context, file string, bytePrice time.Duration) error {
	if bytePrice < 0 || bytePrice > maxBytePrice {
		return cli.Exit(cli.ExitUsage, fmt.Errorf("flag -byteprice: %v is not between 0 and %v", bytePrice, maxBytePrice))
	}
	s, err := site.Load(file)
	if err != nil {
		return cli.Exit(cli.ExitUsage, err)
	}
	debug.SetMemoryLimit(memoryLimit(s.Machine.MemoryMB))
	clock := clockwork.NewRealClock()
	lines, endLog := startLog(cfg.Out, clock)
	defer endLog()
	log, err := logs.New(lines, "info", true)
	if err != nil {
		return err
	}
	inst := newInstance(s, clock, logs.NewRateLimitedLogger(log.WithField("instance", s.Instance), lines, clock), edge.WithBytePrice(cross.BytePrice(bytePrice)))
	expvar.Publish("goldcreststand", inst.vars)
	return inst.run(ctx, file)
}
