package cmd

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"goldcreststand.example/core/budget"
	"goldcreststand.example/goldcreststand/internal/duty"
	"goldcreststand.example/goldcreststand/internal/edge"
	"goldcreststand.example/goldcreststand/internal/entry"
	"goldcreststand.example/goldcreststand/internal/feed"
	"goldcreststand.example/goldcreststand/internal/http1"
	"goldcreststand.example/goldcreststand/internal/hub"
	"goldcreststand.example/goldcreststand/internal/intake"
	"goldcreststand.example/goldcreststand/internal/mesh"
	"goldcreststand.example/goldcreststand/internal/peer"
	"goldcreststand.example/lib/boot"
	"goldcreststand.example/lib/logs"
	site "goldcreststand.example/platform"
)

const (
	// maxListeners is the largest number of addresses that an instance listens on.
	maxListeners = 5
	// defaultOpenFiles is the number of descriptors of a process whose limit is not known; maxOpenFiles is one beyond which a
	// limit makes no difference.
	defaultOpenFiles = 1024
	maxOpenFiles     = 1 << 20
	// peerTimeout bounds a call to another instance. It is short enough to notice an unresponsive instance
	// before that one counts as dead.
	peerTimeout = 800 * time.Millisecond
)

// instance is one instance on the users' platform.
type instance struct {
	settings *site.Settings
	clock    clockwork.Clock
	log      *logs.RateLimitedLogger
	vars     *expvar.Map

	// gate admits the connections of callers and of other instances.
	gate    *intake.Gate
	loop    *hub.Loop
	handler *edge.Handler
	server  *edge.Server
	// httpListeners holds the HTTP listeners other than that for callers.
	httpListeners []*listener
	peer          *peer.Peer
	mesh          *mesh.Mesh
	kinds         *kinds
	writes        *feed.WriteQueue
	checks        *feed.CheckQueue
	followers     []runner
	// meter and duty are nil if the settings ask for no usage reports.
	meter *duty.Meter
	duty  *duty.Queue
}

// runner is a component that runs until the context ends.
type runner interface {
	Run(ctx context.Context)
	Done() <-chan struct{}
}

// newInstance returns an instance that has not started.
func newInstance(s *site.Settings, clock clockwork.Clock, log *logs.RateLimitedLogger, opts ...edge.Option) *instance {
	inst := &instance{settings: s, clock: clock, log: log, vars: new(expvar.Map).Init()}
	// Versions in rollout are compared by the shares and the latencies of their calls. Second tries and calls that wait long
	// would distort both.
	self := hub.Self{Member: s.Self(), SeedPeers: s.SeedPeers(), WaitByDeadline: !s.HasRollouts(), Bounds: hub.Bounds{
		RetryShare: s.Bounds.Share(), RetryExtra: s.Bounds.RetryExtra, RetryWindow: site.Seconds(s.Bounds.RetryWindow),
		CheckRate: s.Bounds.CheckRate,
	}}
	controlOptions, handlerOptions := inst.startUsage()
	inst.loop = hub.New(self, clock, boot.Clock{}, inst, log, controlOptions...)
	admitted := intake.NewMetrics()
	limits := s.CallerBudget(openFiles())
	inst.gate = intake.New(limits, clock, log, admitted)
	admitted.Publish(inst.vars)
	metrics := edge.NewMetrics()
	metrics.Publish(inst.vars)
	inst.publishCopy()
	handlerOptions = append(append(handlerOptions, edge.WithBodyMemory(limits.Memory)), opts...)
	inst.handler = edge.New(inst.loop, site.Dialect{}, inst.loop, clock, log, metrics, handlerOptions...)
	inst.server = edge.NewServer(inst.handler, clock, http1.WithBudget(inst.gate))
	api := site.NewPlatformAPI(s.Bounds)
	inst.httpListeners = []*listener{newControlListener(budget.ClassReadiness, s.Listen.Ready.String(), entry.NewReadyHandler(inst.loop, api))}
	if s.Listen.Control != nil {
		inst.httpListeners = append(inst.httpListeners, newControlListener(budget.ClassMetrics, s.Listen.Control.String(), newControlHandler(inst.handler, self)))
	}
	if s.Listen.Lookup != nil {
		inst.httpListeners = append(inst.httpListeners, newControlListener(budget.ClassLookups, s.Listen.Lookup.String(), entry.NewLookupHandler(inst.loop, api)))
	}
	client := site.NewClient(s.Store.Address)
	inst.kinds = newKinds(client, clock)
	inst.peer = peer.New(clock, discardLog{}, peer.WithTimeout(peerTimeout))
	inst.mesh = mesh.New(self.Member, inst.peer, inst.loop, inst.loop, inst.kinds, clock, log)
	inst.mesh.Register(inst.peer)
	inst.writes = feed.NewWriteQueue(site.NewWriter(client, clock), inst.loop, log)
	inst.checks = feed.NewCheckQueue(site.NewChecker(client, self.ID), inst.loop)
	inst.followers = inst.kinds.followers(inst.loop, clock)
	inst.connectUsage(client)
	return inst
}

// publishCopy publishes how up to date this instance's copy of the store is, and which configuration is in force.
func (inst *instance) publishCopy() {
	inst.vars.Set("copy", expvar.Func(func() any {
		f, out := inst.loop.Freshness(), map[string]any{}
		out["age"], out["watched"], out["silent"] = f.Age.Milliseconds(), f.Watched.Milliseconds(), f.Silent.Milliseconds()
		out["era"] = f.Era
		if c := inst.loop.Load().Config; c != nil {
			out["config"] = c.Version
		}
		return out
	}))
}

// newControlHandler returns the handler of the control address: the metrics at every path, and where a call would go.
func newControlHandler(h *edge.Handler, self hub.Self) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", expvar.Handler())
	mux.Handle("/debug/where", edge.NewWhereHandler(h, self.ID, self.Domain))
	return mux
}

// Do passes control's actions to the adapters.
func (inst *instance) Do(a hub.Action) {
	switch a := a.(type) {
	case hub.RegisterMember:
		inst.writes.RegisterMember(a.Member)
	case hub.DeregisterMember:
		inst.writes.DeregisterMember(a.ID)
	case hub.WriteProgress:
		inst.writes.WriteProgress(a)
	case hub.PingMember:
		inst.mesh.Ping(a)
	case hub.SendReport:
		inst.mesh.Report(a)
	case hub.PollPeer:
		inst.mesh.Poll(a)
	case hub.WatchKinds:
		inst.kinds.setWatched(a)
	case hub.RestartWatches:
		inst.kinds.group.RestartWatches()
	case hub.CheckStore:
		inst.checks.Check(a)
	case hub.ReportHang:
		inst.mesh.ReportHang(a)
	case hub.SendCounts:
		inst.mesh.SendCounts(a)
	case hub.ReadDuty:
		inst.duty.ReadDuty()
	case hub.WriteDuty:
		inst.duty.WriteDuty(a)
	case hub.SendUsage:
		inst.duty.SendUsage(a)
	}
}

// run serves until the context ends or a listener fails, then leaves.
func (inst *instance) run(ctx context.Context, file string) error {
	inst.log.StateChange("node: started", logrus.Fields{
		"domain": inst.settings.Domain, "version": Version, "traffic": inst.settings.Listen.Traffic.String(),
		"peer": inst.settings.Self().Peer.String(), "store": inst.settings.Store.Address.String(), "seeds": inst.settings.Seeds,
	})
	componentsCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	components := append([]runner{inst.gate, inst.loop, inst.handler, inst.mesh, inst.writes, inst.checks}, inst.followers...)
	for _, c := range components {
		wg.Go(func() { c.Run(componentsCtx) })
	}
	wg.Go(func() { inst.server.Run(componentsCtx) })
	wg.Go(func() { inst.reload(componentsCtx, file) })
	failed := make(chan error, maxListeners)
	if err := inst.listen(componentsCtx, failed); err != nil {
		return err
	}
	var err error
	select {
	case err = <-failed:
		inst.log.StateChange("node: listener failed", logrus.Fields{"error": err.Error()})
		err = errs.Combine(err, inst.leave())
	case <-ctx.Done():
		err = inst.leave()
	}
	stop()
	wg.Wait()
	inst.log.StateChange("node: stopped", logrus.Fields{"dropped": inst.loop.Dropped()})
	return err
}

// listen opens all addresses and then serves them. Errors of a running listener are sent to failed.
func (inst *instance) listen(ctx context.Context, failed chan<- error) error {
	type endpoint struct {
		address string
		class   budget.Class
		serve   func(net.Listener) error
	}
	endpoints := []endpoint{{inst.settings.Listen.Traffic.String(), budget.ClassCalls, inst.server.Serve}}
	for _, l := range inst.httpListeners {
		endpoints = append(endpoints, endpoint{l.address, l.class, serveHTTP(l.srv)})
	}
	endpoints = append(endpoints, endpoint{
		inst.settings.Self().Peer.String(), budget.ClassPeers, func(s net.Listener) error { return inst.peer.Run(ctx, s) },
	})
	addresses := make([]string, len(endpoints))
	for n, e := range endpoints {
		addresses[n] = e.address
	}
	socks, err := listenAll(addresses)
	if err != nil {
		return err
	}
	for n, e := range endpoints {
		sock := inst.gate.Listener(socks[n], e.class)
		go func() {
			if err := e.serve(sock); err != nil {
				failed <- err
			}
		}()
	}
	return nil
}

// openFiles returns the number of descriptors that this process may open.
func openFiles() int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return defaultOpenFiles
	}
	return int(min(r.Cur, maxOpenFiles))
}

// serveHTTP returns a function that serves until the server is closed.
func serveHTTP(srv httpServer) func(net.Listener) error {
	return func(sock net.Listener) error {
		if err := srv.Serve(sock); !errs.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}

// reload validates the settings file again on SIGHUP. Changed settings take effect at the next start; none of
// them changes while the process runs.
func (inst *instance) reload(ctx context.Context, file string) {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	defer signal.Stop(ch)
	for {
		select {
		case <-ch:
			if _, err := site.Load(file); err != nil {
				inst.log.StateChange("node: changed settings are invalid", logrus.Fields{"error": err.Error()})
				continue
			}
			inst.log.StateChange("node: settings validated again", logrus.Fields{})
		case <-ctx.Done():
			return
		}
	}
}

// discardLog discards the log lines of the peer connections; control detects and logs unresponsive members.
type discardLog struct{}

// Debugf discards the line.
func (discardLog) Debugf(string, ...any) {}

// Warnf discards the line.
func (discardLog) Warnf(string, ...any) {}
