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
	// leaveShare is the part of the time between SIGTERM and SIGKILL for which an instance that leaves still
	// takes calls of callers that keep its address, and endShare that at which it ends.
	leaveShare = 0.5
	endShare   = 0.9
	// listeners is the number of addresses that an instance listens on at most.
	listeners = 5
	// peerTimeout bounds a call of another instance, so that a silent one is noticed before it counts as dead.
	peerTimeout = 800 * time.Millisecond
)

// node is one instance on the users' platform.
type node struct {
	settings *site.Settings
	clock    clockwork.Clock
	log      *logs.RateLimitedLogger
	vars     *expvar.Map

	loop    *hub.Loop
	handler *edge.Handler
	server  *edge.Server
	// pages are the listeners beside that for callers.
	pages  []*listener
	peer   *peer.Peer
	mesh   *mesh.Mesh
	kinds  *kinds
	writes *feed.WriteQueue
	feeds  []runner
}

// runner is a part that runs until the context ends.
type runner interface {
	Run(ctx context.Context)
	Done() <-chan struct{}
}

// newNode returns an instance that has not started.
func newNode(s *site.Settings, clock clockwork.Clock, log *logs.RateLimitedLogger) *node {
	n := &node{settings: s, clock: clock, log: log, vars: new(expvar.Map).Init()}
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
	n.pages = []*listener{newListener("ready", s.Listen.Ready.String(), entry.NewReadyHandler(n.loop, pages))}
	if s.Listen.Control != nil {
		n.pages = append(n.pages, newListener("metrics", s.Listen.Control.String(), expvar.Handler()))
	}
	if s.Listen.Lookup != nil {
		n.pages = append(n.pages, newListener("lookup", s.Listen.Lookup.String(), entry.NewLookupHandler(n.loop, pages)))
	}
	client := site.NewClient(s.Store.Address)
	n.kinds = newKinds(client, clock)
	n.peer = peer.New(clock, quietLog{}, peer.WithTimeout(peerTimeout))
	n.mesh = mesh.New(self.Member, n.peer, n.loop, n.loop, n.kinds, clock, log)
	n.mesh.Register(n.peer)
	n.writes = feed.NewWriteQueue(site.NewWriter(client, clock), n.loop, log)
	n.feeds = n.kinds.followers(n.loop, clock)
	return n
}

// Do hands control's actions to the adapters.
func (n *node) Do(a hub.Action) {
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
		n.kinds.watch(a)
	}
}

// run serves until the context ends, then leaves.
func (n *node) run(ctx context.Context, file string) error {
	n.log.StateChange("node: started", logrus.Fields{
		"domain": n.settings.Domain, "version": Version, "traffic": n.settings.Listen.Traffic.String(),
		"peer": n.settings.Self().Peer.String(), "store": n.settings.Store.Address.String(), "seeds": n.settings.Seeds,
	})
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	parts := append([]runner{n.loop, n.handler, n.mesh, n.writes}, n.feeds...)
	for _, p := range parts {
		wg.Go(func() { p.Run(inner) })
	}
	wg.Go(func() { n.server.Run(inner) })
	wg.Go(func() { n.reload(inner, file) })
	failed := make(chan error, listeners)
	if err := n.listen(inner, failed); err != nil {
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

// listen opens all listeners. Each one reports when it fails.
func (n *node) listen(ctx context.Context, failed chan<- error) error {
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
	for _, p := range n.pages {
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

// leave withdraws the instance, serves callers that keep its address for a while, and finishes the calls
// that it has accepted.
func (n *node) leave() error {
	grace := site.Seconds(n.settings.Bounds.Grace)
	n.log.StateChange("node: leaving", logrus.Fields{"grace": grace.Milliseconds()})
	start := n.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(endShare*float64(grace)))
	defer cancel()
	if err := n.loop.Post(ctx, hub.Shutdown{}); err != nil {
		return err
	}
	n.clock.Sleep(time.Duration(leaveShare*float64(grace)) - n.clock.Since(start))
	if err := n.server.Shutdown(ctx); err != nil {
		n.log.StateChange("node: calls were still running at the end", logrus.Fields{"error": err.Error()})
	}
	return nil
}

// reload checks the settings file again when a signal says that it changed. What it holds is in force from
// the next start: none of it changes while a process runs.
func (n *node) reload(ctx context.Context, file string) {
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
			n.log.StateChange("node: settings checked again", logrus.Fields{})
		case <-ctx.Done():
			return
		}
	}
}

// quietLog drops the lines of the link between instances; control notices and logs a member's silence.
type quietLog struct{}

// Debugf drops the line.
func (quietLog) Debugf(string, ...any) {}

// Warnf drops the line.
func (quietLog) Warnf(string, ...any) {}
