package cmd

import (
	"context"
	"flag"
	"net/http"
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
	"goldcreststand.example/schema/config"
)

// headerTimeout bounds the time in which a request's headers must arrive.
const headerTimeout = 10 * time.Second

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
	clock := clockwork.NewRealClock()
	w := watch.New(plat.New(s.Platform.URL, s.Platform.Timeout.Std()), s.Platform.Wait.Std(), clock, logs.Part(log, "watch"))
	loop := ctrl.New(ctrl.Self{ID: s.Name, Domain: s.Domain, Traffic: s.Traffic.Address, Count: s.Place.Count}, clock, boot.Clock{}, &executor{watcher: w})
	control, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go loop.Run(control)
	go w.Run(control, loop)
	admission := proxy.NewAdmission(loop, route.Proportional{}, boot.Clock{})
	go admission.Run(control, loop.Published())
	traffic := proxy.New(proxy.Options{
		Timeout: s.Traffic.Timeout.Std(), Maximum: s.Traffic.Maximum.Std(), Lifetime: s.Place.Lifetime.Std(),
	}, loop, admission, boot.Clock{})
	servers := []*listener{
		newListener("traffic", s.Traffic.Address.String(), traffic),
		newListener("admin", s.Admin.Address.String(), admin.New(s.Name, s.Domain, loop)),
	}
	err = serveAll(ctx, servers, s.Traffic.Drain.Std(), logs.Part(log, "serve"))
	stop()
	<-loop.Done()
	<-w.Done()
	<-admission.Done()
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

// newListener returns a listener that has not started.
func newListener(name, address string, h http.Handler) *listener {
	return &listener{name: name, srv: &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}}
}
