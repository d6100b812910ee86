package cmd

import (
	"context"
	"expvar"
	"flag"
	"os"
	"runtime/debug"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/lib/cli"
	"goldcreststand.example/lib/logs"
	"goldcreststand.example/schema/config"
)

// gcPercent lets the heap grow to five times its live part between collections. The live part is a few
// megabytes, so that the default of 100 collects many times per second, which shows in the 99th
// percentile of the latency (BenchmarkCall).
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
	log, err := logs.New(cfg.Err, string(s.Log.Level), s.Log.Format == config.LogFormatJson)
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	d := newDaemon(s, clockwork.NewRealClock(), log)
	// Names of expvar are global to the process, so they are not taken by a daemon of a test.
	expvar.Publish("calls", d.metrics)
	return d.run(ctx)
}
