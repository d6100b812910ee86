package cmd

import (
	"context"
	"flag"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/route"
	"goldcreststand.example/goldcreststand/internal/admin"
	"goldcreststand.example/goldcreststand/internal/ctrl"
	"goldcreststand.example/goldcreststand/internal/peer"
	"goldcreststand.example/goldcreststand/internal/proxy"
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
	w := watch.New(plat.New(s.Platform.URL, s.Platform.Timeout.Std()), s.Platform.Wait.Std(), clock, logs.Part(log, "watch"))
	loop := ctrl.New(ctrl.Self{ID: s.Name, Domain: s.Domain, Traffic: s.Traffic.Address, Count: s.Place.Count}, clock, boot.Clock{}, &executor{watcher: w})
	control, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go loop.Run(control)
	go w.Run(control, loop)
	admission := proxy.NewAdmission(loop, route.Proportional{}, boot.Clock{})
	go admission.Run(control, loop.Published())
	link, err := startPeer(control, s, clock, logs.Part(log, "peer"))
	if err != nil {
		return err
	}
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
	<-link.Done()
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

// startPeer opens the link to other instances.
func startPeer(ctx context.Context, s *config.Settings, clock clockwork.Clock, log *logs.Prefixed) (*peer.Peer, error) {
	sock, err := net.Listen("tcp", s.Peer.Address.String())
	if err != nil {
		return nil, err
	}
	p := peer.New(clock, log)
	p.ServePing(selfOnly{id: s.Name})
	log.Infof("listens on %s", sock.Addr())
	go func() {
		if err := p.Run(ctx, sock); err != nil {
			log.Errorf("listener failed: %v", err)
		}
	}()
	return p, nil
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
