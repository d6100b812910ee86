package watch

import (
	"context"
	"errors"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/lib/plat"
	"goldcreststand.example/schema/wire"
)

// pathOf returns the platform's path of an object.
func pathOf(k dist.Key) string {
	switch k.Kind {
	case dist.KindTable:
		return plat.ObjectPath(plat.CollectionTables, k.Name)
	case dist.KindStatus:
		return plat.ObjectPath(plat.CollectionMoves, k.Name)
	case dist.KindListing:
		return plat.InstancesPath(k.Name)
	case dist.KindCatalog, dist.KindReachability:
	}
	return plat.ListPath(plat.CollectionTables)
}

// watch makes one call and returns what it brought.
func (w *Watcher) watch(ctx context.Context, a dist.StartWatch) dist.Event {
	switch a.Key.Kind {
	case dist.KindTable:
		return read(ctx, w, a, func(t *wire.Table, tag dist.Tag) (dist.Event, error) {
			return dist.ObjectRead{Call: a.Call, Tag: tag, Object: dist.FromTable(t.Core())}, nil
		})
	case dist.KindStatus:
		return read(ctx, w, a, func(s *wire.Status, tag dist.Tag) (dist.Event, error) {
			st, err := s.Core(a.Key.Service())
			if err != nil {
				return nil, plat.ErrInvalid.Wrap(err)
			}
			return dist.ObjectRead{Call: a.Call, Tag: tag, Object: dist.FromStatus(st)}, nil
		})
	case dist.KindListing:
		return read(ctx, w, a, func(l *wire.Listing, tag dist.Tag) (dist.Event, error) {
			return dist.ObjectRead{Call: a.Call, Tag: tag, Object: dist.FromListing(l.Core())}, nil
		})
	case dist.KindCatalog, dist.KindReachability:
	}
	return read(ctx, w, a, func(k *wire.Keys, tag dist.Tag) (dist.Event, error) {
		return dist.CatalogRead{Call: a.Call, Tag: tag, Services: w.services(k.Names)}, nil
	})
}

// read makes the call and turns the value, or the failure, into an event.
func read[T any](ctx context.Context, w *Watcher, a dist.StartWatch, event func(*T, dist.Tag) (dist.Event, error)) dist.Event {
	v := new(T)
	tag, changed, err := w.platform.Watch(ctx, pathOf(a.Key), plat.Tag(a.Tag), a.Wait, v)
	var ev dist.Event = dist.WatchUnchanged{Key: a.Key, Call: a.Call}
	if err == nil && changed {
		ev, err = event(v, dist.Tag(tag))
	}
	if ctx.Err() == nil {
		w.log.note(err)
	}
	if err != nil {
		return failed(a, err)
	}
	return ev
}

func failed(a dist.StartWatch, err error) dist.Event {
	ev := dist.WatchFailed{Key: a.Key, Call: a.Call}
	var limited *plat.LimitedError
	switch {
	case plat.ErrNotFound.Has(err):
		ev.Failure = dist.FailureNotFound
	case errors.As(err, &limited):
		ev.Failure, ev.RetryAfter = dist.FailureRateLimited, limited.After
	case plat.ErrInvalid.Has(err):
		ev.Failure = dist.FailureInvalid
	}
	return ev
}

// services leaves out names that no service can have, so that one of them does not hide the others.
func (w *Watcher) services(names []string) []ident.ServiceName {
	var out []ident.ServiceName
	for _, n := range names {
		if err := ident.CheckName(n); err != nil {
			w.log.log.Warnf("list of routing tables: %v", err)
			continue
		}
		out = append(out, ident.ServiceName(n))
	}
	return out
}

// store joins the status into the platform's.
func (w *Watcher) store(ctx context.Context, a dist.StoreStatus) dist.Event {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := dist.StatusKey(a.Status.Service)
	wr := plat.NewWriter(w.platform, w.clock, plat.JudgeStatus)
	got, err := wr.Update(ctx, pathOf(key), func(old *wire.Status) (*wire.Status, error) {
		next := wire.FromStatus(a.Status)
		if plat.JudgeStatus(old, next) == plat.Applied {
			return nil, nil
		}
		return next, nil
	})
	if err == nil {
		st, cerr := got.Core(a.Status.Service)
		if cerr == nil {
			return dist.StatusStored{Call: a.Call, Status: st}
		}
		err = cerr
	}
	w.log.log.Warnf("storing rollout status of %s failed: %v", a.Status.Service, err)
	return dist.StatusStoreFailed{Key: key, Call: a.Call}
}
