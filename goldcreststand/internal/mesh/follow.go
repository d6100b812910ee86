package mesh

import (
	"context"
	"time"

	"goldcreststand.example/goldcreststand/internal/hub"
	"goldcreststand.example/schema/wire"
)

// errBusy says that too many calls of other instances wait.
var errBusy = Error.New("too many calls wait")

// Control reports how up to date this instance is with the store.
type Control interface {
	Freshness() hub.Freshness
}

// Follow asks an instance for what it knows at a newer revision, and posts it.
func (m *Mesh) Follow(a hub.Follow) {
	ok := m.pool.TrySubmit(func(ctx context.Context) { _ = m.poster.Post(ctx, m.ask(ctx, a)) })
	if !ok {
		go func() { _ = m.poster.Post(context.Background(), hub.Followed{From: a.To, Err: errBusy}) }()
	}
}

// ask asks the instance and reads its reply.
func (m *Mesh) ask(ctx context.Context, a hub.Follow) hub.Followed {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	out := hub.Followed{From: a.To}
	req := &wire.FollowRequest{Sender: m.self.ID, Wait: int(a.Wait.Milliseconds())}
	for k, known := range a.Known {
		req.Wants = append(req.Wants, wire.Want{Kind: k.String(), Known: known})
	}
	var reply wire.FollowReply
	if out.Err = m.link.Call(ctx, a.To, methodFollow, req, &reply); out.Err != nil {
		return out
	}
	out.Age, out.Grace = millis(reply.Age), millis(reply.Grace)
	for _, x := range reply.News {
		ev, err := m.read(x)
		if err != nil {
			out.Err = err
			return out
		}
		if ev != nil {
			out.News = append(out.News, ev)
		}
	}
	return out
}

// read reads one kind of objects that another instance told.
func (m *Mesh) read(x wire.Excerpt) (hub.Event, error) {
	k, err := hub.KindString(x.Kind)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	raw, err := x.Content.Decompress()
	if err != nil {
		return nil, Error.New("%s: %w", x.Kind, err)
	}
	ev, err := m.excerpts.copies.Import(k, raw)
	return ev, Error.Wrap(err)
}

// follow answers with what is newer than the sender knows, as soon as there is something or the time is over.
func (m *Mesh) follow(ctx context.Context, r *wire.FollowRequest) (*wire.FollowReply, error) {
	timeout := m.clock.After(millis(r.Wait))
	for {
		next := m.excerpts.copies.Next()
		news, err := m.news(r)
		if err != nil {
			return nil, err
		}
		if len(news) > 0 {
			return m.reply(news), nil
		}
		select {
		case <-next:
		case <-timeout:
			return m.reply(news), nil
		case <-ctx.Done():
			return nil, Error.Wrap(ctx.Err())
		}
	}
}

// news returns what is newer than the sender knows.
func (m *Mesh) news(r *wire.FollowRequest) ([]wire.Excerpt, error) {
	out := []wire.Excerpt{}
	for _, w := range r.Wants {
		k, err := hub.KindString(w.Kind)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		content, newer, err := m.excerpts.take(k, w.Known)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if newer {
			out = append(out, wire.Excerpt{Kind: w.Kind, Content: content})
		}
	}
	return out, nil
}

func (m *Mesh) reply(news []wire.Excerpt) *wire.FollowReply {
	st := m.control.Freshness()
	return &wire.FollowReply{Age: int(st.Age.Milliseconds()), Grace: int(st.Grace.Milliseconds()), News: news}
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
