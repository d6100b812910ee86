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
	// drainFraction is the fraction of the time between SIGTERM and SIGKILL for which a leaving instance
	// still accepts calls of callers that keep its address. cancelFraction is the fraction at which the calls that are left are
	// canceled. It lies in the last sixth, in which operators count no call as lost at which a server is still at work.
	// answerFraction is the fraction in which the responses to these must be written, less the time for the last counts of usage, but
	// minAnswerFraction at least. A stop that begins later than the signal by spareFraction still has that. maxLateFraction limits by
	// how much a later one is shortened.
	drainFraction  = 0.5
	cancelFraction = 0.85
	answerFraction = 0.1

	minAnswerFraction = 0.05
	spareFraction     = 0.05
	maxLateFraction   = 0.25
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
	inst.followers = inst.kinds.followers(inst.loop, clock)
	inst.connectUsage(client)
	return inst
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

// run serves until the context ends, then leaves.
func (inst *instance) run(ctx context.Context, file string) error {
	inst.log.StateChange("node: started", logrus.Fields{
		"domain": inst.settings.Domain, "version": Version, "traffic": inst.settings.Listen.Traffic.String(),
		"peer": inst.settings.Self().Peer.String(), "store": inst.settings.Store.Address.String(), "seeds": inst.settings.Seeds,
	})
	componentsCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	components := append([]runner{inst.gate, inst.loop, inst.handler, inst.mesh, inst.writes}, inst.followers...)
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
	case <-ctx.Done():
		err = inst.leave()
	}
	stop()
	wg.Wait()
	inst.log.StateChange("node: stopped", logrus.Fields{"dropped": inst.loop.Dropped()})
	return err
}

// listen opens all listeners. Errors of a running listener are sent to failed.
func (inst *instance) listen(ctx context.Context, failed chan<- error) error {
	open := func(address string, class budget.Class, serve func(net.Listener) error) error {
		sock, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		sock = inst.gate.Listener(sock, class)
		go func() {
			if err := serve(sock); err != nil {
				failed <- err
			}
		}()
		return nil
	}
	group := errs.Group{}
	group.Add(open(inst.settings.Listen.Traffic.String(), budget.ClassCalls, inst.server.Serve))
	for _, l := range inst.httpListeners {
		group.Add(open(l.address, l.class, serveHTTP(l.srv)))
	}
	group.Add(open(inst.settings.Self().Peer.String(), budget.ClassPeers, func(s net.Listener) error { return inst.peer.Run(ctx, s) }))
	return group.Err()
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

// leave withdraws the instance, keeps serving callers that still use its address for part of the grace
// period, and waits for accepted calls to finish.
func (inst *instance) leave() error {
	grace := site.Seconds(inst.settings.Bounds.Grace)
	late := lateStart(inst.loop.Standstill(), grace)
	inst.log.StateChange("node: leaving", logrus.Fields{"grace": grace.Milliseconds(), "late": late.Milliseconds()})
	start := inst.clock.Now().Add(-late)
	timeout := time.Duration(cancelFraction * float64(grace))
	ctx, cancel := context.WithTimeout(context.Background(), timeout-late)
	defer cancel()
	if err := inst.loop.Post(ctx, hub.Shutdown{Until: start.Add(timeout)}); err != nil {
		return err
	}
	inst.clock.Sleep(time.Duration(drainFraction*float64(grace)) - inst.clock.Since(start))
	if err := inst.server.Shutdown(ctx); err != nil {
		inst.log.StateChange("node: canceling the calls in flight", logrus.Fields{"error": err.Error()})
		// The time counts from now: a process that is late needs it even more.
		ctx, cancel := context.WithTimeout(context.Background(), inst.answerTime(grace))
		defer cancel()
		if err := inst.server.CancelCalls(ctx); err != nil {
			inst.log.StateChange("node: shutdown ended with calls in flight", logrus.Fields{"error": err.Error()})
		}
	}
	inst.flushUsage()
	return nil
}

// answerTime returns the time in which the responses to canceled calls must be written.
func (inst *instance) answerTime(grace time.Duration) time.Duration {
	out := time.Duration(answerFraction * float64(grace))
	if inst.meter == nil {
		return out
	}
	return max(out-flushTimeout, time.Duration(minAnswerFraction*float64(grace)))
}

// lateStart returns the time by which a stop must be shortened to end in time if the process may have stood still before it. The grace
// time counts from the signal, which has come at any time meanwhile. A stop is not shortened by more than that needs, because a call that
// is canceled before the last sixth of the grace time counts as lost.
func lateStart(standstill, grace time.Duration) time.Duration {
	part := func(fraction float64) time.Duration { return time.Duration(fraction * float64(grace)) }
	return min(max(0, standstill-part(spareFraction)), part(maxLateFraction))
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
