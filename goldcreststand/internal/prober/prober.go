// Package prober probes the health and load of backend servers over HTTP for control.
package prober

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/health"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/probe"
	"goldcreststand.example/goldcreststand/internal/ctrl"
	"goldcreststand.example/goldcreststand/internal/worker"
	"goldcreststand.example/lib/header"
	"goldcreststand.example/schema/wire"
)

// Limits of a probe.
const (
	// probeTimeout bounds a probe, which makes up to two requests.
	probeTimeout = 500 * time.Millisecond
	// maxQueuedProbes bounds the probes that are queued or running. Control starts at most eight at a time per
	// service.
	maxQueuedProbes = 64
	// maxRequestBytes is the part of a probe's byte budget that is reserved for its two requests, because a
	// response may be read before the bytes of the request are counted.
	maxRequestBytes ident.Bytes = 150
)

// Poster posts events to the control goroutine.
type Poster interface {
	Post(ctx context.Context, ev ctrl.Event) error
}

// Prober runs probes and posts their results.
type Prober struct {
	clock clockwork.Clock
	pool  *worker.Pool
	// poster is set by Run, before a probe runs.
	poster Poster
}

// New returns a Prober. Queued probes run once Run is called.
func New(clock clockwork.Clock) *Prober {
	return &Prober{clock: clock, pool: worker.New(maxQueuedProbes)}
}

// Done is closed when Run and all its probes have returned.
func (p *Prober) Done() <-chan struct{} { return p.pool.Done() }

// Enqueue queues a probe without blocking. When the queue is full the probe is skipped; its share of the budget
// stays consumed.
func (p *Prober) Enqueue(a ctrl.SendProbe) {
	p.pool.TrySubmit(func(ctx context.Context) {
		// Post fails only while the instance stops.
		_ = p.poster.Post(ctx, p.probe(ctx, a))
	})
}

// Run runs queued probes until the context ends and posts their results to poster.
func (p *Prober) Run(ctx context.Context, poster Poster) {
	p.poster = poster
	p.pool.Run(ctx)
}

// probe requests the health and the load of a server over one connection.
func (p *Prober) probe(ctx context.Context, a ctrl.SendProbe) ctrl.ProbeCompleted {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var n atomic.Int64
	transport := &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: int64(probe.MaxBytes),
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c, n: &n}, nil
		},
	}
	defer transport.CloseIdleConnections()
	r := health.ProbeResult{Server: a.Server, Start: p.clock.Now()}
	status, err := get(ctx, transport, a.Address, "/health", nil)
	switch {
	case err != nil:
		r.Failed = true
	case status == http.StatusServiceUnavailable:
		r.Draining = true
	case status != http.StatusOK:
		r.Failed = true
	default:
		var l wire.Load
		if status, err := get(ctx, transport, a.Address, "/load", &l); err == nil && status == http.StatusOK {
			r.Slots = l.Slots
		}
	}
	return ctrl.ProbeCompleted{Service: a.Service, Result: r, Bytes: ident.Bytes(n.Load())}
}

// get requests the path and decodes the response into v unless v is nil.
func get(ctx context.Context, t http.RoundTripper, to netip.AddrPort, path string, v any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.String()+path, nil)
	if err != nil {
		return 0, err
	}
	// Omitting the header saves bytes of the probe budget.
	req.Header.Set("User-Agent", "")
	resp, err := header.Checked(t.RoundTrip(req))
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, int64(probe.MaxBytes)))
	if err == nil && v != nil {
		err = json.Unmarshal(b, v)
	}
	return resp.StatusCode, err
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	n *atomic.Int64
	// received is the number of bytes read; only the transport's reading goroutine uses it.
	received int64
}

// Read implements net.Conn. It fails once the byte budget for responses is used up.
func (c *countingConn) Read(b []byte) (int, error) {
	left := int64(probe.MaxBytes-maxRequestBytes) - c.received
	if left <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), left)])
	c.received += int64(n)
	c.n.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}
