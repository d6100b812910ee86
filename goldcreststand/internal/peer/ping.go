package peer

import (
	"context"
	"net/netip"

	"goldcreststand.example/schema/wire"
)

// MethodPing is the name of the heartbeat method.
const MethodPing = "ping"

// PingHandler handles heartbeats.
type PingHandler interface {
	Ping(ctx context.Context, ping *wire.Ping) (*wire.Pong, error)
}

// ServePing registers the heartbeat method.
func (p *Peer) ServePing(h PingHandler) { p.Register(MethodPing, Method(h.Ping)) }

// Ping sends a heartbeat to the instance at the address.
func (p *Peer) Ping(ctx context.Context, to netip.AddrPort, ping *wire.Ping) (*wire.Pong, error) {
	pong := new(wire.Pong)
	if err := p.Call(ctx, to, MethodPing, ping, pong); err != nil {
		return nil, err
	}
	return pong, nil
}
