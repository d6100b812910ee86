package peer

import (
	"context"
	"net/netip"

	"goldcreststand.example/schema/wire"
)

// MethodFetch is the name of the method that fetches routing tables, server lists and rollout statuses.
const MethodFetch = "fetch"

// FetchHandler handles fetch requests.
type FetchHandler interface {
	Fetch(ctx context.Context, f *wire.Fetch) (*wire.Fetched, error)
}

// ServeFetch registers the fetch method.
func (p *Peer) ServeFetch(h FetchHandler) { p.Register(MethodFetch, Method(h.Fetch)) }

// Fetch requests objects from the instance at the address.
func (p *Peer) Fetch(ctx context.Context, to netip.AddrPort, f *wire.Fetch) (*wire.Fetched, error) {
	out := new(wire.Fetched)
	if err := p.Call(ctx, to, MethodFetch, f, out); err != nil {
		return nil, err
	}
	return out, nil
}
