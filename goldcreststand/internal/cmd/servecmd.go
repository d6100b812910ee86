package cmd

import (
	"context"
	"expvar"
	"flag"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/lib/cli"
	"goldcreststand.example/lib/logs"
	"goldcreststand.example/schema/config"
)

// gcPercent lets the heap grow to five times its live size between collections. The live size is a few
// megabytes, so the default of 100 would collect many times per second, which raises the 99th percentile of
// the latency (BenchmarkCall).
const gcPercent = 400

func newServeCmd(cfg *Config) *cli.Command {
	var file string
	return &cli.Command{
		Name:  "serve",
		Short: "serve callers until a signal comes, then drain",
		Flags: func(fs *flag.FlagSet) {
			fs.StringVar(&file, "settings", "goldcreststand.toml", "settings file")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runServeCmd(ctx, file) },
	}
}

func (cfg *Config) runServeCmd(ctx context.Context, file string) error {
	s, err := loadSettings(file)
	if err != nil {
		return err
	}
	clock := clockwork.NewRealClock()
	lines, endLog := startLog(cfg.Err, clock)
	defer endLog()
	log, err := logs.New(lines, string(s.Log.Level), s.Log.Format == config.LogFormatJson)
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	d := newDaemon(s, clock, log)
	// expvar names are global to the process, so they are published here rather than in newDaemon, which
	// tests call too.
	expvar.Publish("calls", d.metrics)
	callers := new(expvar.Map).Init()
	d.callers.Publish(callers)
	expvar.Publish("callers", callers)
	// The end of a terminal must not cut off the calls in flight.
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGHUP)
	defer stop()
	return d.run(ctx)
}
