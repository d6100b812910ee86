package cmd

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/route"
	"goldcreststand.example/goldcreststand/internal/admin"
	"goldcreststand.example/goldcreststand/internal/beat"
	"goldcreststand.example/goldcreststand/internal/ctrl"
	"goldcreststand.example/goldcreststand/internal/fetch"
	"goldcreststand.example/goldcreststand/internal/http1"
	"goldcreststand.example/goldcreststand/internal/peer"
	"goldcreststand.example/goldcreststand/internal/prober"
	"goldcreststand.example/goldcreststand/internal/proxy"
	"goldcreststand.example/goldcreststand/internal/report"
	"goldcreststand.example/goldcreststand/internal/watch"
	"goldcreststand.example/lib/boot"
	"goldcreststand.example/lib/logs"
	"goldcreststand.example/lib/plat"
	"goldcreststand.example/lib/stats"
	"goldcreststand.example/schema/config"
)

// leaveTimeout bounds the time for notifying other instances that this one leaves.
const leaveTimeout = 2 * time.Second

// daemon holds the components of an instance.
type daemon struct {
	settings   *config.Settings
	clock      clockwork.Clock
	log        *logrus.Logger
	loop       *ctrl.Loop
	peer       *peer.Peer
	watcher    *watch.Watcher
	fetches    *fetch.Exchange
	reports    *report.Exchange
	prober     *prober.Prober
	heartbeats *beat.Exchange
	admission  *proxy.Admission
	traffic    *proxy.Handler
	metrics    *stats.CallMetrics
	// callers holds the counters of callers' connections.
	callers *http1.Metrics
}

// The calls of a connection are served concurrently only by a handler that tells their kinds.
var _ http1.Kinds = (*proxy.Handler)(nil)

// connLog logs what happens to callers' connections.
type connLog struct{ log *logs.PrefixedLogger }

var _ http1.Log = connLog{}

// Failure writes the line as a warning.
func (l connLog) Failure(msg string, fields logrus.Fields) { l.log.Warnf("%s: %v", msg, fields) }

// newDaemon builds the components without starting them.
func newDaemon(s *config.Settings, clock clockwork.Clock, log *logrus.Logger) *daemon {
	d := &daemon{settings: s, clock: clock, log: log}
	d.watcher = watch.New(plat.New(s.Platform.URL, s.Platform.Timeout.Std()), clock, logs.WithPrefix(log, "watch"))
	d.peer = peer.New(clock, logs.WithPrefix(log, "peer"))
	d.fetches = fetch.New(s.Name, d.peer, logs.WithPrefix(log, "fetch"))
	d.reports = report.New(s.Name, d.peer, logs.WithPrefix(log, "report"))
	d.prober = prober.New(clock)
	d.peer.ServeFetch(d.fetches)
	d.peer.ServeReport(d.reports)
	d.heartbeats = beat.New(d.peer, s.Peer.Suspect.Std(), logs.WithPrefix(log, "member"))
	d.peer.ServePing(d.heartbeats)
	d.loop = ctrl.New(newSelf(s, clock.Now()), clock, boot.Clock{}, &executor{
		watcher: d.watcher, fetches: d.fetches, reports: d.reports, prober: d.prober, heartbeats: d.heartbeats,
	})
	d.admission = proxy.NewAdmission(d.loop, route.Proportional{}, boot.Clock{})
	d.metrics, d.callers = stats.New(), new(http1.Metrics)
	d.traffic = proxy.New(proxy.Options{
		DefaultTimeout: s.Traffic.Timeout.Std(), MaxTimeout: s.Traffic.Maximum.Std(), LookupTTL: s.Place.Lifetime.Std(),
		MaxBufferedBody: s.Traffic.Buffer, RetryRatio: s.Traffic.Resend,
	}, d.loop, d.admission, boot.Clock{}, proxy.WithClock(clock), proxy.WithMetrics(d.metrics),
		proxy.WithLog(logs.WithPrefix(log, "proxy")), proxy.WithOutcomeSink(&outcomeSink{loop: d.loop}))
	return d
}

// run serves until the context ends, drains, and returns when all components have stopped.
func (d *daemon) run(ctx context.Context) error {
	// The components run until the calls in flight have ended.
	componentsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	sock, err := net.Listen("tcp", d.settings.Peer.Address.String())
	if err != nil {
		return err
	}
	d.start(componentsCtx, sock)
	log := http1.WithLog(connLog{logs.WithPrefix(d.log, "serve")})
	err = serveAll(d.leaveContext(ctx, componentsCtx), []*listener{
		newListener("traffic", d.settings.Traffic.Address.String(), d.traffic, d.clock, http1.WithMetrics(d.callers), log),
		newListener("admin", d.settings.Admin.Address.String(), admin.New(d.settings.Name, d.settings.Domain, d.loop, d.metrics),
			d.clock, http1.WithStallTimeout(operatorStallTimeout), log),
	}, d.settings.Traffic.Drain.Std(), d.clock, logs.WithPrefix(d.log, "serve"))
	stop()
	d.wait()
	return err
}

// leaveContext returns a context that ends when ctx has ended and other instances have been notified that
// this one leaves. Callers are then sent to other instances before the listeners close.
func (d *daemon) leaveContext(ctx, componentsCtx context.Context) context.Context {
	leaveCtx, stop := context.WithCancel(componentsCtx)
	context.AfterFunc(ctx, func() {
		defer stop()
		waitCtx, cancel := context.WithTimeout(componentsCtx, leaveTimeout)
		defer cancel()
		logs.WithPrefix(d.log, "serve").Infof("leaving")
		if err := d.loop.Post(waitCtx, ctrl.LeaveRequested{}); err != nil {
			return
		}
		select {
		case <-d.heartbeats.LeaveAnnounced():
		case <-waitCtx.Done():
		}
	})
	return leaveCtx
}

// start runs each component in its own goroutine.
func (d *daemon) start(ctx context.Context, sock net.Listener) {
	log := logs.WithPrefix(d.log, "peer")
	log.Infof("listens on %s", sock.Addr())
	go func() {
		if err := d.peer.Run(ctx, sock); err != nil {
			log.Errorf("listener failed: %v", err)
		}
	}()
	go d.loop.Run(ctx)
	go d.watcher.Run(ctx, d.loop)
	go d.fetches.Run(ctx, d.loop)
	go d.reports.Run(ctx, d.loop)
	go d.prober.Run(ctx, d.loop)
	go d.heartbeats.Run(ctx, d.loop)
	go d.admission.Run(ctx, d.loop.Published())
	go d.traffic.Run(ctx)
}

// wait returns when all components have stopped.
func (d *daemon) wait() {
	for _, c := range []interface{ Done() <-chan struct{} }{
		d.loop, d.watcher, d.fetches, d.reports, d.prober, d.heartbeats, d.peer, d.admission, d.traffic,
	} {
		<-c.Done()
	}
}

// newSelf returns the configuration of the control goroutine from the settings.
func newSelf(s *config.Settings, start time.Time) ctrl.Self {
	cfg := dist.DefaultConfig(s.Place.Count)
	cfg.WatchWait = s.Platform.Wait.Std()
	return ctrl.Self{
		ID: s.Name, Domain: s.Domain, Traffic: s.Traffic.Address, InstancesPerService: s.Place.Count,
		Region: s.Region, Peer: s.Peer.Address, Start: start,
		Member: beat.MemberConfig(s.Peer.Seeds, s.Peer.Interval, s.Peer.Suspect, s.Peer.Dead),
		Probe:  ctrl.ProbeBudget{Rate: s.Probe.Rate, Bytes: s.Probe.Bytes},
		Dist:   cfg, Seed: rand.Uint64(),
	}
}

// outcomeSink posts the outcomes of tries to the control goroutine.
type outcomeSink struct {
	loop *ctrl.Loop
}

var _ proxy.OutcomeSink = (*outcomeSink)(nil)

// Offer posts the batch if the event queue of the control goroutine has room for it.
func (s *outcomeSink) Offer(batch []route.TryOutcome) bool {
	return s.loop.TryPost(ctrl.OutcomesReported{Outcomes: batch})
}
