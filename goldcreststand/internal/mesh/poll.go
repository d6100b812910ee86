package mesh

import (
	"context"
	"time"

	"goldcreststand.example/goldcreststand/internal/hub"
	"goldcreststand.example/lib/guard"
	"goldcreststand.example/schema/wire"
)

// maxWatched is the age by its own watches from which on an instance counts as one that watches nothing.
const maxWatched = 10 * time.Second

// errBusy reports that the queue of calls to other instances is full.
var errBusy = Error.New("queue of calls is full")

// FreshnessSource reports how up to date this instance's copy of the store is.
type FreshnessSource interface {
	Freshness() hub.Freshness
}

// Poll polls an instance for changes and posts the result.
func (m *Mesh) Poll(a hub.PollPeer) {
	ok := m.pool.TrySubmit(func(ctx context.Context) { _ = m.poster.Post(ctx, m.poll(ctx, a)) })
	if !ok {
		go func() { _ = m.poster.Post(context.Background(), hub.PollCompleted{From: a.To, Err: errBusy}) }()
	}
}

// poll calls the instance and decodes its reply.
func (m *Mesh) poll(ctx context.Context, a hub.PollPeer) hub.PollCompleted {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	out := hub.PollCompleted{From: a.To}
	req := &wire.FollowRequest{Sender: m.self.ID, Wait: int(a.Wait.Milliseconds()), Watched: watchedField(a.Watched)}
	for k, known := range a.Known {
		req.Wants = append(req.Wants, wire.WantFrom(k.String(), known))
	}
	var reply wire.FollowReply
	if out.Err = m.link.Call(ctx, a.To, methodFollow, req, &reply); out.Err != nil {
		return out
	}
	out.Age, out.Watched, out.Grace = millis(reply.Age), watched(reply.Watched), millis(reply.Grace)
	for _, x := range reply.News {
		var ev hub.Event
		var err error
		// The result of a poll must be posted even if the decoder panics, because control waits for it.
		if failure := guard.Call(func() { ev, err = m.decode(x) }); failure != nil {
			err = Error.Wrap(failure)
		}
		if err != nil {
			out.Err = err
			return out
		}
		if ev != nil {
			out.Updates = append(out.Updates, ev)
		}
	}
	return out
}

// decode decodes one excerpt of another instance.
func (m *Mesh) decode(x wire.Excerpt) (hub.Event, error) {
	k, err := hub.KindString(x.Kind)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	raw, err := x.Content.Decompress()
	if err != nil {
		return nil, Error.New("%s: %w", x.Kind, err)
	}
	ev, err := m.excerpts.replicas.Import(k, raw)
	return ev, Error.Wrap(err)
}

// handlePoll replies with the changes after the sender's positions, as soon as there are any, or without changes
// when the sender's wait time is over.
func (m *Mesh) handlePoll(ctx context.Context, r *wire.FollowRequest) (*wire.FollowReply, error) {
	if r.Watched != nil {
		if err := m.poster.Post(ctx, hub.CopyOffered{Sender: r.Sender, Watched: millis(*r.Watched)}); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	timeout := m.clock.After(millis(r.Wait))
	for {
		next := m.excerpts.replicas.NextChange()
		excerpts, err := m.newerExcerpts(r)
		if err != nil {
			return nil, err
		}
		if len(excerpts) > 0 {
			return m.reply(excerpts), nil
		}
		select {
		case <-next:
		case <-timeout:
			return m.reply(excerpts), nil
		case <-ctx.Done():
			return nil, Error.Wrap(ctx.Err())
		}
	}
}

// newerExcerpts returns the changes after the sender's positions.
func (m *Mesh) newerExcerpts(r *wire.FollowRequest) ([]wire.Excerpt, error) {
	out := []wire.Excerpt{}
	for _, w := range r.Wants {
		k, err := hub.KindString(w.Kind)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		content, newer, err := m.excerpts.get(k, w.Position(m.excerpts.replicas.ChangedAt(k).Era))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if newer {
			out = append(out, wire.Excerpt{Kind: w.Kind, Content: content})
		}
	}
	return out, nil
}

func (m *Mesh) reply(excerpts []wire.Excerpt) *wire.FollowReply {
	f := m.freshness.Freshness()
	return &wire.FollowReply{
		Age: int(f.Age.Milliseconds()), Watched: watchedField(f.Watched), Grace: int(f.Grace.Milliseconds()), News: excerpts,
	}
}

// watchedField returns the field of a message for the age of a copy by the instance's own watches.
func watchedField(d time.Duration) *int {
	if d >= maxWatched {
		return nil
	}
	ms := int(d.Milliseconds())
	return &ms
}

// watched returns the age that the field of a message holds. An instance without it watches nothing, or has no such field.
func watched(field *int) time.Duration {
	if field == nil {
		return maxWatched
	}
	return millis(*field)
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
