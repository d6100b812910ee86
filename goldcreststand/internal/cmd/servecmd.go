package cmd

import (
	"context"
	"expvar"
	"flag"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/route"
	"goldcreststand.example/goldcreststand/internal/admin"
	"goldcreststand.example/goldcreststand/internal/ctrl"
	"goldcreststand.example/goldcreststand/internal/proxy"
	"goldcreststand.example/goldcreststand/internal/watch"
	"goldcreststand.example/lib/boot"
	"goldcreststand.example/lib/cli"
	"goldcreststand.example/lib/logs"
	"goldcreststand.example/lib/plat"
	"goldcreststand.example/lib/stats"
	"goldcreststand.example/schema/config"
)

// headerTimeout bounds the time in which a request's headers must arrive.
const headerTimeout = 10 * time.Second

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
	clock := clockwork.NewRealClock()
	w := watch.New(plat.New(s.Platform.URL, s.Platform.Timeout.Std()), s.Platform.Wait.Std(), clock, logs.Part(log, "watch"))
	loop := ctrl.New(ctrl.Self{ID: s.Name, Domain: s.Domain, Traffic: s.Traffic.Address, Count: s.Place.Count}, clock, boot.Clock{}, &executor{watcher: w})
	metrics := stats.New()
	expvar.Publish("calls", metrics)
	control, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go loop.Run(control)
	go w.Run(control, loop)
	traffic := proxy.New(proxy.Options{
		Timeout: s.Traffic.Timeout.Std(), Maximum: s.Traffic.Maximum.Std(), Lifetime: s.Place.Lifetime.Std(),
		Buffer: s.Traffic.Buffer, Resend: s.Traffic.Resend,
	}, loop, route.LeastLoaded{}, boot.Clock{}, proxy.WithClock(clock), proxy.WithMetrics(metrics),
		proxy.WithLog(logs.Part(log, "proxy")), proxy.WithSink(&outcomeSink{loop: loop}))
	go traffic.Run(control)
	servers := []*listener{
		newListener("traffic", s.Traffic.Address.String(), traffic),
		newListener("admin", s.Admin.Address.String(), admin.New(s.Name, s.Domain, loop)),
	}
	err = serveAll(ctx, servers, s.Traffic.Drain.Std(), logs.Part(log, "serve"))
	stop()
	<-loop.Done()
	<-w.Done()
	<-traffic.Done()
	return err
}

// executor hands control's actions to the adapters.
type executor struct {
	watcher *watch.Watcher
}

var _ ctrl.Executor = (*executor)(nil)

// Do queues the action with the adapter that carries it out.
func (x *executor) Do(a ctrl.Action) {
	if a, ok := a.(ctrl.WatchServices); ok {
		x.watcher.SetServices(a.Services)
	}
}

// outcomeSink hands the outcomes of traffic to control.
type outcomeSink struct {
	loop *ctrl.Loop
}

var _ proxy.Sink = (*outcomeSink)(nil)

// Offer posts the batch when control has room for it.
func (s *outcomeSink) Offer(batch []route.Outcome) bool {
	return s.loop.TryPost(ctrl.OutcomesSeen{Outcomes: batch})
}

// newListener returns a listener that has not started.
func newListener(name, address string, h http.Handler) *listener {
	return &listener{name: name, srv: &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}}
}
