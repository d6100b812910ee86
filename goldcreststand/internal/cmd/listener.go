package cmd

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"goldcreststand.example/core/budget"
	"goldcreststand.example/goldcreststand/internal/http1"
	"goldcreststand.example/goldcreststand/internal/intake"
	"goldcreststand.example/lib/boot"
)

// readHeaderTimeout bounds the time for reading a request's headers.
const readHeaderTimeout = 10 * time.Second

// Limits of the connections to the addresses for readiness checks, lookups and metrics.
const (
	maxControlHeader   = 16 << 10
	controlTimeout     = 5 * time.Second
	controlIdleTimeout = time.Minute
)

// operatorStallTimeout is the time for which an operator may take none of a response. The links of operators may be slow.
const operatorStallTimeout = time.Minute

// maxLinger limits the time for which a process that leaves still takes calls. Callers that keep a connection open send
// their next call within it, and its response says that the connection ends.
const maxLinger = time.Second

// httpServer serves HTTP on a listener until Shutdown.
type httpServer interface {
	Serve(ln net.Listener) error
	Shutdown(ctx context.Context) error
}

var (
	_ httpServer = (*http.Server)(nil)
	_ httpServer = (*http1.Server)(nil)
)

// listener is one HTTP server with its name in logs.
type listener struct {
	name, address string
	// class is the class of the connections in the budget for callers.
	class budget.Class
	srv   httpServer
	// leaving is set once the process leaves.
	leaving atomic.Bool
}

// newListener returns a listener that has not started. Calls are served concurrently if h tells that they are safe.
func newListener(name, address string, h http.Handler, clock clockwork.Clock, opts ...http1.Option) *listener {
	l := &listener{name: name, address: address}
	served := l.announceEnd(h)
	if k, ok := h.(http1.Kinds); ok {
		served = leavingHandler{Handler: served, Kinds: k}
	}
	l.srv = http1.New(served, clock, append(opts, http1.WithHeaderTimeout(readHeaderTimeout))...)
	return l
}

// newControlListener returns a listener for requests without bodies, as readiness checks, lookups and requests for metrics are.
// No such caller takes nearly as long as its limits.
func newControlListener(class budget.Class, address string, h http.Handler) *listener {
	l := &listener{name: class.String(), address: address, class: class}
	l.srv = &http.Server{
		Handler: l.announceEnd(intake.Track(h)), MaxHeaderBytes: maxControlHeader, ReadHeaderTimeout: controlTimeout,
		ReadTimeout: controlTimeout, WriteTimeout: controlTimeout, IdleTimeout: controlIdleTimeout,
		ConnContext: intake.WithConn, ConnState: intake.ConnState,
		// net/http would answer OPTIONS * without the handler, and what such requests hold would stay counted.
		DisableGeneralOptionsHandler: true,
	}
	return l
}

// leavingHandler is a handler that announces the end, with the kinds of the handler that it calls.
type leavingHandler struct {
	http.Handler
	http1.Kinds
}

// announceEnd adds to each response that its connection ends, while the process leaves. Calls that were read behind the
// response are answered before.
func (l *listener) announceEnd(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.leaving.Load() {
			if c, ok := w.(interface{ CloseAfterRead() }); ok {
				c.CloseAfterRead()
			} else {
				w.Header().Set("Connection", "close")
			}
		}
		h.ServeHTTP(w, r)
	})
}

// run runs what the server does beside serving.
func (l *listener) run(ctx context.Context) {
	if r, ok := l.srv.(runner); ok {
		r.Run(ctx)
	}
}

type infoLog interface {
	Infof(format string, args ...any)
}

// serveAll serves until the context ends or a listener fails. It then waits for calls in flight, at most for the drain
// time.
func serveAll(ctx context.Context, ls []*listener, drain time.Duration, clock clockwork.Clock, log infoLog) error {
	failed := make(chan error, len(ls))
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	addresses := make([]string, len(ls))
	for n, l := range ls {
		addresses[n] = l.address
	}
	socks, err := listenAll(addresses)
	if err != nil {
		return err
	}
	for n, l := range ls {
		log.Infof("%s listens on %s", l.name, socks[n].Addr())
		go func() { failed <- l.srv.Serve(socks[n]) }()
		go l.run(runCtx)
	}
	select {
	case err = <-failed:
		log.Infof("listener failed: %v", err)
	case <-ctx.Done():
	}
	log.Infof("draining calls in flight")
	return errs.Combine(err, shutdown(ls, drain, clock))
}

// shutdown ends the listeners. Callers are first told that their connections end, so that fewer requests cross a close.
func shutdown(ls []*listener, drain time.Duration, clock clockwork.Clock) error {
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	for _, l := range ls {
		l.leaving.Store(true)
	}
	clock.Sleep(min(maxLinger, drain/2))
	boot.WaitForTimers(ctx, clock)
	var group errs.Group
	for _, l := range ls {
		group.Add(l.srv.Shutdown(ctx))
	}
	return group.Err()
}

// listenAll listens on all addresses, or on none: a process that cannot start must serve no calls before it ends.
func listenAll(addresses []string) ([]net.Listener, error) {
	var group errs.Group
	socks := make([]net.Listener, 0, len(addresses))
	for _, a := range addresses {
		sock, err := net.Listen("tcp", a)
		if err != nil {
			group.Add(err)
			continue
		}
		socks = append(socks, sock)
	}
	if len(group) == 0 {
		return socks, nil
	}
	for _, sock := range socks {
		group.Add(sock.Close())
	}
	return nil, group.Err()
}
