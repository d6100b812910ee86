package peer

import (
	"context"
	"net/netip"

	"goldcreststand.example/schema/wire"
)

// Names of the methods between the instances that serve a service.
const (
	// MethodReport sends the status and the outcome counts of a version rollout.
	MethodReport = "report"
	// MethodWarm queries which backend servers are warm.
	MethodWarm = "warm"
)

// ReportHandler handles rollout reports and warm queries.
type ReportHandler interface {
	Report(ctx context.Context, r *wire.Report) (*wire.Receipt, error)
	Warm(ctx context.Context, q *wire.Warmth) (*wire.Warmth, error)
}

// ServeReport registers the report and warm methods.
func (p *Peer) ServeReport(h ReportHandler) {
	p.Register(MethodReport, Method(h.Report))
	p.Register(MethodWarm, Method(h.Warm))
}

// Report sends a report to the instance at the address.
func (p *Peer) Report(ctx context.Context, to netip.AddrPort, r *wire.Report) error {
	return p.Call(ctx, to, MethodReport, r, new(wire.Receipt))
}

// Warm queries which of the servers the instance at the address knows to be warm.
func (p *Peer) Warm(ctx context.Context, to netip.AddrPort, q *wire.Warmth) (*wire.Warmth, error) {
	out := new(wire.Warmth)
	if err := p.Call(ctx, to, MethodWarm, q, out); err != nil {
		return nil, err
	}
	return out, nil
}
