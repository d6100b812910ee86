// Package peer exchanges JSON-RPC 2.0 messages between instances over TCP. Methods are registered by name
// before Run.
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

// Limits of the connections between instances. Each bounds the resources that one faulty peer can use.
const (
	// defaultTimeout bounds a call, including the dial that it may need.
	defaultTimeout = time.Second
	// defaultMaxMessageSize is the size of the largest message. The largest legitimate one is a routing table
	// of 1 MB.
	defaultMaxMessageSize ident.Bytes = 2 << 20
	// defaultIdleTimeout is the time without a message after which the dialing side closes a connection. In
	// a fleet of 240 instances a peer is pinged every 2 minutes, so keeping idle connections longer mostly
	// costs memory.
	defaultIdleTimeout = time.Minute
	// maxConcurrentRequests bounds the requests of one connection that are handled concurrently.
	maxConcurrentRequests = 32
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

// WithTimeout bounds a call, including the dial that it may need.
func WithTimeout(d time.Duration) Option { return func(p *Peer) { p.timeout = d } }

// WithMaxMessageSize sets the size of the largest message.
func WithMaxMessageSize(n ident.Bytes) Option { return func(p *Peer) { p.maxMessageSize = n } }

// Peer is both the client and the server side of the messages between instances.
type Peer struct {
	clock          clockwork.Clock
	log            Log
	timeout        time.Duration
	maxMessageSize ident.Bytes
	idleTimeout    time.Duration
	methods        map[string]Handler
	done           chan struct{}
	// ctx is canceled when Run returns; all connections are closed then.
	ctx  context.Context
	stop context.CancelFunc

	mu    sync.Mutex
	links map[netip.AddrPort]*link
}

// New returns a peer that does not listen yet but can already send calls.
func New(clock clockwork.Clock, log Log, opts ...Option) *Peer {
	ctx, stop := context.WithCancel(context.Background())
	p := &Peer{
		clock: clock, log: log,
		timeout: defaultTimeout, maxMessageSize: defaultMaxMessageSize, idleTimeout: defaultIdleTimeout,
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
			// Accept fails temporarily when the process has no file descriptors left.
			p.log.Warnf("accepting a connection failed: %v", err)
			p.sleep(ctx, minBackoff)
		default:
			// The accepting side has a longer idle timeout, so the dialing side closes first and no request
			// is sent on a connection that is being closed.
			c, _ := p.startConn(raw, 2*p.idleTimeout)
			wg.Go(func() { <-c.DisconnectNotify() })
		}
	}
}

// Call sends a request to the instance at the address and waits for its result. It dials when there is no
// open connection. It returns a *jsonrpc2.Error when the peer rejected the request, and an error of the class
// Error otherwise.
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
		// Links to the addresses of replaced instances would accumulate otherwise.
		maps.DeleteFunc(p.links, func(_ netip.AddrPort, l *link) bool { return l.stale() })
		l = &link{peer: p, to: to, sem: make(chan struct{}, 1)}
		p.links[to] = l
	}
	return l
}

// startConn starts JSON-RPC on a connection. Both sides may send requests.
func (p *Peer) startConn(raw net.Conn, idleTimeout time.Duration) (*jsonrpc2.Conn, *limitedConn) {
	s := newStream(raw, p.maxMessageSize, idleTimeout, p.timeout)
	h := &dispatcher{peer: p, meter: s.meter, sem: make(chan struct{}, maxConcurrentRequests)}
	return jsonrpc2.NewConn(p.ctx, s, h, jsonrpc2.SetLogger(debugLogger{p.log})), s.conn
}

func (p *Peer) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-p.clock.After(d):
	case <-ctx.Done():
	}
}

// debugLogger writes the library's log lines at debug level, because a peer that disconnects is not a fault
// of this instance.
type debugLogger struct{ log Log }

// Printf implements jsonrpc2.Logger.
func (l debugLogger) Printf(format string, args ...any) { l.log.Debugf(format, args...) }
