package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Backoff after a failed dial. The maximum is shorter than the suspect timeout, so an instance that comes
// back is reached before it is declared dead.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// link is the outgoing connection to one address.
type link struct {
	peer *Peer
	to   netip.AddrPort
	// sem is held by the goroutine that reads or changes the fields below.
	sem         chan struct{}
	conn        *jsonrpc2.Conn
	limitedConn *limitedConn
	backoff     time.Duration
	retryAt     time.Time
	lastUsed    time.Time
}

func (l *link) call(ctx context.Context, method string, params, result any) error {
	conn, limited, err := l.open(ctx)
	if err != nil {
		return err
	}
	before := limited.reads.Load()
	err = conn.Call(ctx, method, params, result)
	if errors.Is(err, context.DeadlineExceeded) && limited.reads.Load() == before {
		// Nothing was received during the whole call: the connection is broken without having been closed, or
		// the peer hangs.
		l.peer.log.Debugf("no data received on the connection to %s; closing it", l.to)
		_ = conn.Close()
	}
	var rejected *jsonrpc2.Error
	if errors.As(err, &rejected) {
		return rejected
	}
	return Error.Wrap(err)
}

// open returns the open connection, or dials a new one.
func (l *link) open(ctx context.Context) (*jsonrpc2.Conn, *limitedConn, error) {
	select {
	case l.sem <- struct{}{}:
		defer func() { <-l.sem }()
	case <-ctx.Done():
		return nil, nil, Error.Wrap(ctx.Err())
	}
	l.lastUsed = l.peer.clock.Now()
	if !l.disconnected() {
		return l.conn, l.limitedConn, nil
	}
	if wait := l.retryAt.Sub(l.lastUsed); wait > 0 {
		return nil, nil, Error.New("dialing %s failed before; next try in %s", l.to, wait)
	}
	return l.dial(ctx)
}

// stale reports whether the link has no connection and was not used recently.
func (l *link) stale() bool {
	select {
	case l.sem <- struct{}{}:
		defer func() { <-l.sem }()
	default:
		return false
	}
	return l.disconnected() && l.peer.clock.Since(l.lastUsed) > l.peer.idleTimeout
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

func (l *link) dial(ctx context.Context) (*jsonrpc2.Conn, *limitedConn, error) {
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", l.to.String())
	if err != nil {
		l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
		l.retryAt = l.peer.clock.Now().Add(l.backoff)
		return nil, nil, Error.Wrap(err)
	}
	l.backoff, l.retryAt = 0, time.Time{}
	l.conn, l.limitedConn = l.peer.startConn(raw, l.peer.idleTimeout)
	return l.conn, l.limitedConn, nil
}
