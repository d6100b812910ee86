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

	"goldcreststand.example/goldcreststand/internal/edge"
	"goldcreststand.example/goldcreststand/internal/entry"
	"goldcreststand.example/goldcreststand/internal/feed"
	"goldcreststand.example/goldcreststand/internal/hub"
	"goldcreststand.example/goldcreststand/internal/mesh"
	"goldcreststand.example/goldcreststand/internal/peer"
	"goldcreststand.example/lib/boot"
	"goldcreststand.example/lib/logs"
	site "goldcreststand.example/platform"
)

const (
	// drainFraction is the fraction of the time between SIGTERM and SIGKILL for which a leaving instance
	// still accepts calls of callers that keep its address; shutdownFraction is the fraction at which its
	// shutdown ends at the latest.
	drainFraction    = 0.5
	shutdownFraction = 0.9
	// maxListeners is the largest number of addresses that an instance listens on.
	maxListeners = 5
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
}

// runner is a component that runs until the context ends.
type runner interface {
	Run(ctx context.Context)
	Done() <-chan struct{}
}

// newInstance returns an instance that has not started.
func newInstance(s *site.Settings, clock clockwork.Clock, log *logs.RateLimitedLogger) *instance {
	n := &instance{settings: s, clock: clock, log: log, vars: new(expvar.Map).Init()}
	self := hub.Self{Member: s.Self(), SeedPeers: s.SeedPeers(), Bounds: hub.Bounds{
		RetryShare: s.Bounds.Share(), RetryExtra: s.Bounds.RetryExtra, RetryWindow: site.Seconds(s.Bounds.RetryWindow),
		CheckRate: s.Bounds.CheckRate,
	}}
	n.loop = hub.New(self, clock, boot.Clock{}, n, log)
	metrics := edge.NewMetrics()
	metrics.Publish(n.vars)
	n.handler = edge.New(n.loop, site.Dialect{}, n.loop, clock, log, metrics)
	n.server = edge.NewServer(n.handler, clock)
	pages := site.NewPages(s.Bounds)
	n.httpListeners = []*listener{newListener("ready", s.Listen.Ready.String(), entry.NewReadyHandler(n.loop, pages))}
	if s.Listen.Control != nil {
		n.httpListeners = append(n.httpListeners, newListener("metrics", s.Listen.Control.String(), expvar.Handler()))
	}
	if s.Listen.Lookup != nil {
		n.httpListeners = append(n.httpListeners, newListener("lookup", s.Listen.Lookup.String(), entry.NewLookupHandler(n.loop, pages)))
	}
	client := site.NewClient(s.Store.Address)
	n.kinds = newKinds(client, clock)
	n.peer = peer.New(clock, discardLog{}, peer.WithTimeout(peerTimeout))
	n.mesh = mesh.New(self.Member, n.peer, n.loop, n.loop, n.kinds, clock, log)
	n.mesh.Register(n.peer)
	n.writes = feed.NewWriteQueue(site.NewWriter(client, clock), n.loop, log)
	n.followers = n.kinds.followers(n.loop, clock)
	return n
}

// Do passes control's actions to the adapters.
func (n *instance) Do(a hub.Action) {
	switch a := a.(type) {
	case hub.RegisterMember:
		n.writes.RegisterMember(a.Member)
	case hub.DeregisterMember:
		n.writes.DeregisterMember(a.ID)
	case hub.WriteProgress:
		n.writes.WriteProgress(a)
	case hub.PingMember:
		n.mesh.Ping(a)
	case hub.SendReport:
		n.mesh.Report(a)
	case hub.PollPeer:
		n.mesh.Poll(a)
	case hub.WatchKinds:
		n.kinds.setWatched(a)
	}
}

// run serves until the context ends, then leaves.
func (n *instance) run(ctx context.Context, file string) error {
	n.log.StateChange("node: started", logrus.Fields{
		"domain": n.settings.Domain, "version": Version, "traffic": n.settings.Listen.Traffic.String(),
		"peer": n.settings.Self().Peer.String(), "store": n.settings.Store.Address.String(), "seeds": n.settings.Seeds,
	})
	componentsCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	components := append([]runner{n.loop, n.handler, n.mesh, n.writes}, n.followers...)
	for _, p := range components {
		wg.Go(func() { p.Run(componentsCtx) })
	}
	wg.Go(func() { n.server.Run(componentsCtx) })
	wg.Go(func() { n.reload(componentsCtx, file) })
	failed := make(chan error, maxListeners)
	if err := n.listen(componentsCtx, failed); err != nil {
		return err
	}
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		err = n.leave()
	}
	stop()
	wg.Wait()
	n.log.StateChange("node: stopped", logrus.Fields{"dropped": n.loop.Dropped()})
	return err
}

// listen opens all listeners. Errors of a running listener are sent to failed.
func (n *instance) listen(ctx context.Context, failed chan<- error) error {
	open := func(address string, serve func(net.Listener) error) error {
		sock, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		go func() {
			if err := serve(sock); err != nil {
				failed <- err
			}
		}()
		return nil
	}
	group := errs.Group{}
	group.Add(open(n.settings.Listen.Traffic.String(), n.server.Serve))
	for _, p := range n.httpListeners {
		group.Add(open(p.srv.Addr, serveHTTP(p.srv)))
	}
	group.Add(open(n.settings.Self().Peer.String(), func(s net.Listener) error { return n.peer.Run(ctx, s) }))
	return group.Err()
}

// serveHTTP returns a function that serves until the server is closed.
func serveHTTP(srv *http.Server) func(net.Listener) error {
	return func(sock net.Listener) error {
		if err := srv.Serve(sock); !errs.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}

// leave withdraws the instance, keeps serving callers that still use its address for part of the grace
// period, and waits for accepted calls to finish.
func (n *instance) leave() error {
	grace := site.Seconds(n.settings.Bounds.Grace)
	n.log.StateChange("node: leaving", logrus.Fields{"grace": grace.Milliseconds()})
	start := n.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(shutdownFraction*float64(grace)))
	defer cancel()
	if err := n.loop.Post(ctx, hub.Shutdown{}); err != nil {
		return err
	}
	n.clock.Sleep(time.Duration(drainFraction*float64(grace)) - n.clock.Since(start))
	if err := n.server.Shutdown(ctx); err != nil {
		n.log.StateChange("node: shutdown ended with calls in flight", logrus.Fields{"error": err.Error()})
	}
	return nil
}

// reload validates the settings file again on SIGHUP. Changed settings take effect at the next start; none of
// them changes while the process runs.
func (n *instance) reload(ctx context.Context, file string) {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	defer signal.Stop(ch)
	for {
		select {
		case <-ch:
			if _, err := site.Load(file); err != nil {
				n.log.StateChange("node: changed settings are invalid", logrus.Fields{"error": err.Error()})
				continue
			}
			n.log.StateChange("node: settings validated again", logrus.Fields{})
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
