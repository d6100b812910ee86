package mesh

import (
	"context"

	"goldcreststand.example/core/usage"
	"goldcreststand.example/goldcreststand/internal/hub"
	"goldcreststand.example/schema/wire"
)

// SendCounts sends counts of executed calls and posts that they were merged. Counts that do not arrive are sent again with the
// next ones.
func (m *Mesh) SendCounts(a hub.SendCounts) {
	m.pool.TrySubmit(func(ctx context.Context) {
		var out wire.UsageReply
		if err := m.link.Call(ctx, a.To.Peer, methodUsage, wire.FromUsage(a.Message, a.Standing), &out); err != nil || out.Sender != a.To.ID {
			return
		}
		reply := hub.UsageReply{Source: usage.Source{Instance: out.Sender, Incarnation: out.Incarnation}, Standing: out.Standing.Core()}
		_ = m.poster.Post(ctx, hub.CountsDelivered{UsageReply: reply, Versions: a.Versions})
		if a.Delivered != nil {
			a.Delivered <- struct{}{}
		}
	})
}

// handleUsage passes the counts of another instance to the control goroutine and replies with what it knows of the duty.
func (m *Mesh) handleUsage(ctx context.Context, r *wire.UsageMessage) (*wire.UsageReply, error) {
	reply := make(chan hub.UsageReply, 1)
	if err := m.poster.Post(ctx, hub.CountsReceived{Message: r.Core(), Standing: r.Standing.Core(), Reply: reply}); err != nil {
		return nil, Error.Wrap(err)
	}
	select {
	case out := <-reply:
		return &wire.UsageReply{Sender: out.Source.Instance, Incarnation: out.Source.Incarnation, Standing: wire.FromStanding(out.Standing)}, nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}
