package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Backoff after a failed dial. The longest delay is shorter than the time of suspicion, so that an
// instance that comes back is reached before it is declared dead.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// link is the outgoing connection to one address.
type link struct {
	peer *Peer
	to   netip.AddrPort
	// turn is held by the goroutine that reads or changes the fields below.
	turn    chan struct{}
	conn    *jsonrpc2.Conn
	stream  *bounded
	backoff time.Duration
	retryAt time.Time
	used    time.Time
}

func (l *link) call(ctx context.Context, method string, params, result any) error {
	conn, s, err := l.open(ctx)
	if err != nil {
		return err
	}
	before := s.reads.Load()
	err = conn.Call(ctx, method, params, result)
	if errors.Is(err, context.DeadlineExceeded) && s.reads.Load() == before {
		// Nothing arrived for the whole call: the connection is dead without notice, or the peer hangs.
		l.peer.log.Debugf("connection to %s is silent; closing it", l.to)
		_ = conn.Close()
	}
	var rejected *jsonrpc2.Error
	if errors.As(err, &rejected) {
		return rejected
	}
	return Error.Wrap(err)
}

// open returns the open connection, or dials.
func (l *link) open(ctx context.Context) (*jsonrpc2.Conn, *bounded, error) {
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
		return nil, nil, Error.Wrap(ctx.Err())
	}
	l.used = l.peer.clock.Now()
	if !l.disconnected() {
		return l.conn, l.stream, nil
	}
	if wait := l.retryAt.Sub(l.used); wait > 0 {
		return nil, nil, Error.New("dialling %s failed before; next try in %s", l.to, wait)
	}
	return l.dial(ctx)
}

// stale reports whether the link has no connection and was not used lately.
func (l *link) stale() bool {
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	default:
		return false
	}
	return l.disconnected() && l.peer.clock.Since(l.used) > l.peer.idle
}

func (l *link) disconnected() bool {
	if l.conn == nil {
		return true
	}
	select {
	case <-l.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (l *link) dial(ctx context.Context) (*jsonrpc2.Conn, *bounded, error) {
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", l.to.String())
	if err != nil {
		l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
		l.retryAt = l.peer.clock.Now().Add(l.backoff)
		return nil, nil, Error.Wrap(err)
	}
	l.backoff, l.retryAt = 0, time.Time{}
	l.conn, l.stream = l.peer.open(raw, l.peer.idle)
	return l.conn, l.stream, nil
}
