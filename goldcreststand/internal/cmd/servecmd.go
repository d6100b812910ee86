package cmd

import (
	"context"
	"flag"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/route"
	"goldcreststand.example/goldcreststand/internal/admin"
	"goldcreststand.example/goldcreststand/internal/ctrl"
	"goldcreststand.example/goldcreststand/internal/fetch"
	"goldcreststand.example/goldcreststand/internal/peer"
	"goldcreststand.example/goldcreststand/internal/prober"
	"goldcreststand.example/goldcreststand/internal/proxy"
	"goldcreststand.example/goldcreststand/internal/report"
	"goldcreststand.example/goldcreststand/internal/watch"
	"goldcreststand.example/lib/boot"
	"goldcreststand.example/lib/cli"
	"goldcreststand.example/lib/logs"
	"goldcreststand.example/lib/plat"
	"goldcreststand.example/schema/config"
	"goldcreststand.example/schema/wire"
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
	w := watch.New(plat.New(s.Platform.URL, s.Platform.Timeout.Std()), clock, logs.Part(log, "watch"))
	link := peer.New(clock, logs.Part(log, "peer"))
	x := fetch.New(s.Name, link, logs.Part(log, "fetch"))
	link.ServeFetch(x)
	reports := report.New(s.Name, link, logs.Part(log, "report"))
	link.ServeReport(reports)
	probes := prober.New(clock)
	loop := ctrl.New(newSelf(s), clock, boot.Clock{}, &executor{watcher: w, exchange: x, reports: reports, prober: probes})
	control, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go loop.Run(control)
	go w.Run(control, loop)
	go x.Run(control, loop)
	go reports.Run(control, loop)
	go probes.Run(control, loop)
	if err := startPeer(control, s, link, logs.Part(log, "peer")); err != nil {
		return err
	}
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
	<-x.Done()
	<-reports.Done()
	<-probes.Done()
	<-link.Done()
	<-admission.Done()
	return err
}

// executor hands control's actions to the adapters.
type executor struct {
	watcher  *watch.Watcher
	exchange *fetch.Exchange
	reports  *report.Exchange
	prober   *prober.Prober
}

var _ ctrl.Executor = (*executor)(nil)

// Do queues the action with the adapter that carries it out.
func (x *executor) Do(a ctrl.Action) {
	switch a := a.(type) {
	case dist.Watch, dist.Unwatch, dist.Store:
		x.watcher.Do(a)
	case ctrl.FetchPeer:
		x.exchange.Do(a)
	case ctrl.SendReport:
		x.reports.Send(a)
	case ctrl.AskWarm:
		x.reports.Ask(a)
	case ctrl.Probe:
		x.prober.Do(a)
	}
}

// newSelf returns what control knows of this instance from the settings.
func newSelf(s *config.Settings) ctrl.Self {
	cfg := dist.DefaultConfig(s.Place.Count)
	cfg.Wait = s.Platform.Wait.Std()
	return ctrl.Self{
		ID: s.Name, Domain: s.Domain, Traffic: s.Traffic.Address, Count: s.Place.Count,
		Probe: ctrl.ProbeBudget{Rate: s.Probe.Rate, Bytes: s.Probe.Bytes},
		Dist:  cfg, Seed: rand.Uint64(),
	}
}

// startPeer opens the link to other instances.
func startPeer(ctx context.Context, s *config.Settings, p *peer.Peer, log *logs.Prefixed) error {
	sock, err := net.Listen("tcp", s.Peer.Address.String())
	if err != nil {
		return err
	}
	p.ServePing(selfOnly{id: s.Name})
	log.Infof("listens on %s", sock.Addr())
	go func() {
		if err := p.Run(ctx, sock); err != nil {
			log.Errorf("listener failed: %v", err)
		}
	}()
	return nil
}

// selfOnly answers heartbeats for an instance that does not take part in membership yet.
type selfOnly struct{ id ident.InstanceID }

var _ peer.Pinger = selfOnly{}

// Ping answers with the instance's identifier.
func (s selfOnly) Ping(context.Context, *wire.Ping) (*wire.Pong, error) {
	return &wire.Pong{Sender: s.id}, nil
}

// newListener returns a listener that has not started.
func newListener(name, address string, h http.Handler) *listener {
	return &listener{name: name, srv: &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}}
}
