package peer

import (
	"context"
	"net/netip"

	"goldcreststand.example/schema/wire"
)

// MethodFetch is the name of the method that exchanges routing tables, server lists and rollout statuses.
const MethodFetch = "fetch"

// Fetcher answers requests for objects.
type Fetcher interface {
	Fetch(ctx context.Context, f *wire.Fetch) (*wire.Fetched, error)
}

// ServeFetch registers the method fetch.
func (p *Peer) ServeFetch(h Fetcher) { p.Register(MethodFetch, Method(h.Fetch)) }

// Fetch asks the instance at the address for objects.
func (p *Peer) Fetch(ctx context.Context, to netip.AddrPort, f *wire.Fetch) (*wire.Fetched, error) {
	out := new(wire.Fetched)
	if err := p.Call(ctx, to, MethodFetch, f, out); err != nil {
		return nil, err
	}
	return out, nil
}
