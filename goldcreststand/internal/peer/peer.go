// Package peer carries JSON-RPC 2.0 messages between instances over TCP. Methods are registered by
// name before Run.
package peer

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"

	"goldcreststand.example/core/ident"
)

// Limits of the link. Each bounds what one faulty peer can make this instance spend.
const (
	// defaultTimeout bounds a call, with the dial that it may need.
	defaultTimeout = time.Second
	// defaultMaximum is the largest message. The largest legitimate one is a routing table of 1 MB.
	defaultMaximum ident.Bytes = 2 << 20
	// defaultIdle is the time without a message after which a connection is closed by the side that
	// dialled it. In a fleet of 240 a peer is pinged every 2 minutes, so a connection that is kept
	// longer mostly costs memory.
	defaultIdle = time.Minute
	// concurrency bounds the requests of one connection that are handled at a time.
	concurrency = 32
)

// Error is the class of the errors of this package.
var Error = errs.Class("peer")

// Log is the log of a Peer.
type Log interface {
	Debugf(format string, args ...any)
	Warnf(format string, args ...any)
}

// Option changes a setting of a Peer.
type Option func(*Peer)

// WithTimeout bounds a call, with the dial that it may need.
func WithTimeout(d time.Duration) Option { return func(p *Peer) { p.timeout = d } }

// WithMaximum sets the size of the largest message.
func WithMaximum(n ident.Bytes) Option { return func(p *Peer) { p.maximum = n } }

// Peer is both ends of the link between instances: it serves requests and sends them.
type Peer struct {
	clock   clockwork.Clock
	log     Log
	timeout time.Duration
	maximum ident.Bytes
	idle    time.Duration
	methods map[string]Handler
	done    chan struct{}
	// ctx ends when Run ends; all connections end with it.
	ctx  context.Context
	stop context.CancelFunc

	mu    sync.Mutex
	links map[netip.AddrPort]*link
}

// New returns a peer that does not listen yet. It can send at once.
func New(clock clockwork.Clock, log Log, opts ...Option) *Peer {
	ctx, stop := context.WithCancel(context.Background())
	p := &Peer{
		clock: clock, log: log,
		timeout: defaultTimeout, maximum: defaultMaximum, idle: defaultIdle,
		methods: make(map[string]Handler),
		done:    make(chan struct{}),
		ctx:     ctx, stop: stop,
		links: make(map[netip.AddrPort]*link),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Register adds a method. It must not be called after Run.
func (p *Peer) Register(method string, h Handler) { p.methods[method] = h }

// Done is closed when Run has returned and all connections are closed.
func (p *Peer) Done() <-chan struct{} { return p.done }

// Run serves the listener until the context ends, then closes the listener and all connections.
func (p *Peer) Run(ctx context.Context, sock net.Listener) error {
	defer close(p.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer p.stop()
	release := context.AfterFunc(ctx, func() { _ = sock.Close() })
	defer release()
	for {
		raw, err := sock.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return Error.Wrap(err)
		case err != nil:
			// Accept fails for a while when the process has no file descriptor left.
			p.log.Warnf("accepting a connection failed: %v", err)
			p.pause(ctx, minBackoff)
		default:
			// The accepting side waits longer, so that the dialling side closes first and no request
			// crosses the close.
			c, _ := p.open(raw, 2*p.idle)
			wg.Go(func() { <-c.DisconnectNotify() })
		}
	}
}

// Call sends a request to the instance at the address and waits for its result. It dials when there is
// no open connection. Errors: *jsonrpc2.Error when the peer rejected the request, the class Error for
// everything else.
func (p *Peer) Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	return p.link(to).call(ctx, method, params, result)
}

func (p *Peer) link(to netip.AddrPort) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[to]
	if !ok {
		// Addresses of replaced instances would pile up otherwise.
		maps.DeleteFunc(p.links, func(_ netip.AddrPort, l *link) bool { return l.stale() })
		l = &link{peer: p, to: to, turn: make(chan struct{}, 1)}
		p.links[to] = l
	}
	return l
}

// open starts JSON-RPC on a connection. Either side may send requests.
func (p *Peer) open(raw net.Conn, idle time.Duration) (*jsonrpc2.Conn, *bounded) {
	s := newStream(raw, p.maximum, idle, p.timeout)
	h := &dispatcher{peer: p, free: make(chan struct{}, concurrency)}
	return jsonrpc2.NewConn(p.ctx, s, h, jsonrpc2.SetLogger(quiet{p.log})), s.conn
}

func (p *Peer) pause(ctx context.Context, d time.Duration) {
	select {
	case <-p.clock.After(d):
	case <-ctx.Done():
	}
}

// quiet writes the library's log lines at debug level: a peer that goes away is no fault of this instance.
type quiet struct{ log Log }

// Printf implements jsonrpc2.Logger.
func (q quiet) Printf(format string, args ...any) { q.log.Debugf(format, args...) }
