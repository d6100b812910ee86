package watch

import (
	"context"
	"errors"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/lib/plat"
	"goldcreststand.example/schema/wire"
)

// pathOf returns the path of an object on the platform.
func pathOf(k dist.Key) string {
	switch k.Kind {
	case dist.KindTable:
		return plat.ObjectPath(plat.CollectionTables, k.Name)
	case dist.KindStatus:
		return plat.ObjectPath(plat.CollectionRolloutStatuses, k.Name)
	case dist.KindServerList:
		return plat.ServerListPath(k.Name)
	case dist.KindCatalog, dist.KindReachability:
	}
	return plat.ListPath(plat.CollectionTables)
}

// watch makes one watch call and returns the resulting event.
func (w *Watcher) watch(ctx context.Context, a dist.StartWatch) dist.Event {
	switch a.Key.Kind {
	case dist.KindTable:
		return watchValue(ctx, w, a, func(t *wire.Table, tag dist.Tag) (dist.Event, error) {
			return dist.ObjectRead{Call: a.Call, Tag: tag, Object: dist.FromTable(t.Core())}, nil
		})
	case dist.KindStatus:
		return watchValue(ctx, w, a, func(s *wire.Status, tag dist.Tag) (dist.Event, error) {
			st, err := s.Core(a.Key.Service())
			if err != nil {
				return nil, plat.ErrInvalid.Wrap(err)
			}
			return dist.ObjectRead{Call: a.Call, Tag: tag, Object: dist.FromStatus(st)}, nil
		})
	case dist.KindServerList:
		return watchValue(ctx, w, a, func(l *wire.Listing, tag dist.Tag) (dist.Event, error) {
			return dist.ObjectRead{Call: a.Call, Tag: tag, Object: dist.FromServerList(l.Core())}, nil
		})
	case dist.KindCatalog, dist.KindReachability:
	}
	return watchValue(ctx, w, a, func(k *wire.Keys, tag dist.Tag) (dist.Event, error) {
		return dist.CatalogRead{Call: a.Call, Tag: tag, Services: w.validServices(k.Names)}, nil
	})
}

// watchValue makes the call and converts the value or the error to an event.
func watchValue[T any](ctx context.Context, w *Watcher, a dist.StartWatch, event func(*T, dist.Tag) (dist.Event, error)) dist.Event {
	v := new(T)
	tag, changed, err := w.platform.Watch(ctx, pathOf(a.Key), plat.Tag(a.Tag), a.Wait, v)
	var ev dist.Event = dist.WatchUnchanged{Key: a.Key, Call: a.Call}
	if err == nil && changed {
		ev, err = event(v, dist.Tag(tag))
	}
	if ctx.Err() == nil {
		w.outages.record(err)
	}
	if err != nil {
		return failureEvent(a, err)
	}
	return ev
}

func failureEvent(a dist.StartWatch, err error) dist.Event {
	ev := dist.WatchFailed{Key: a.Key, Call: a.Call}
	var limited *plat.RateLimitError
	switch {
	case plat.ErrNotFound.Has(err):
		ev.Failure = dist.FailureNotFound
	case errors.As(err, &limited):
		ev.Failure, ev.RetryAfter = dist.FailureRateLimited, limited.RetryAfter
	case plat.ErrInvalid.Has(err):
		ev.Failure = dist.FailureInvalid
	}
	return ev
}

// validServices skips names that are not valid service names. One invalid name must not hide the other services.
func (w *Watcher) validServices(names []string) []ident.ServiceName {
	var out []ident.ServiceName
	for _, n := range names {
		if err := ident.CheckName(n); err != nil {
			w.outages.log.Warnf("list of routing tables: %v", err)
			continue
		}
		out = append(out, ident.ServiceName(n))
	}
	return out
}

// storeStatus merges the status into the one stored on the platform.
func (w *Watcher) storeStatus(ctx context.Context, a dist.StoreStatus) dist.Event {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := dist.StatusKey(a.Status.Service)
	wr := plat.NewWriter(w.platform, w.clock, plat.StatusWriteOutcome)
	got, err := wr.Update(ctx, pathOf(key), func(old *wire.Status) (*wire.Status, error) {
		next := wire.FromStatus(a.Status)
		if plat.StatusWriteOutcome(old, next) == plat.WriteApplied {
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
	w.outages.log.Warnf("storing rollout status of %s failed: %v", a.Status.Service, err)
	return dist.StatusStoreFailed{Key: key, Call: a.Call}
}
