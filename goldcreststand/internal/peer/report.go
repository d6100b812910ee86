package peer

import (
	"context"
	"net/netip"

	"goldcreststand.example/schema/wire"
)

// Names of the methods between the instances that serve a service.
const (
	// MethodReport tells the status and the outcome counts of a version rollout.
	MethodReport = "report"
	// MethodWarm asks which backend servers are warm.
	MethodWarm = "warm"
)

// Reporter takes reports and answers questions about warm servers.
type Reporter interface {
	Report(ctx context.Context, r *wire.Report) (*wire.Receipt, error)
	Warm(ctx context.Context, q *wire.Warmth) (*wire.Warmth, error)
}

// ServeReport registers the methods report and warm.
func (p *Peer) ServeReport(h Reporter) {
	p.Register(MethodReport, Method(h.Report))
	p.Register(MethodWarm, Method(h.Warm))
}

// Report sends a report to the instance at the address.
func (p *Peer) Report(ctx context.Context, to netip.AddrPort, r *wire.Report) error {
	return p.Call(ctx, to, MethodReport, r, new(wire.Receipt))
}

// Warm asks the instance at the address which of the servers are warm.
func (p *Peer) Warm(ctx context.Context, to netip.AddrPort, q *wire.Warmth) (*wire.Warmth, error) {
	out := new(wire.Warmth)
	if err := p.Call(ctx, to, MethodWarm, q, out); err != nil {
		return nil, err
	}
	return out, nil
}
