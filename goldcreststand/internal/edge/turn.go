package edge

import (
	"context"
	"net/http"
	"time"

	"goldcreststand.example/core/rules"
	"goldcreststand.example/goldcreststand/internal/http1"
)

// turn is a response writer of a connection whose calls are read ahead.
type turn interface {
	// Age returns the time since the head of the request was read.
	Age() time.Duration
	// AwaitTurn waits until all earlier calls are answered, at most until the time unless that is zero.
	AwaitTurn(until time.Time) error
	// CloseAfterRead ends the connection after the calls that were read.
	CloseAfterRead()
}

var _ http1.Kinds = (*Handler)(nil)

// Kind returns the kind of a call. Calls without a route count as unsafe.
func (h *Handler) Kind(r *http.Request) rules.Kind {
	snap := h.snapshots.Load()
	if !snap.Ready {
		return rules.KindUnsafe
	}
	if rt := findRoute(snap.Config, r); rt != nil {
		return rt.Kind
	}
	return rules.KindUnsafe
}

// announceEnd tells the caller that its connection ends. Calls that were read behind this one are answered before.
func announceEnd(w http.ResponseWriter) {
	if t, ok := w.(turn); ok {
		t.CloseAfterRead()
		return
	}
	w.Header().Set("Connection", "close")
}

// awaitTurn waits until all earlier calls of the connection are answered. It returns the error of the context if the caller
// has left, and os.ErrDeadlineExceeded after the deadline.
func (c *call) awaitTurn(w http.ResponseWriter) error {
	t, ok := w.(turn)
	if !ok {
		return nil
	}
	err := t.AwaitTurn(c.deadline)
	if err != nil && c.ctx.Err() != nil {
		return context.Canceled
	}
	return err
}

// startInTurn waits until an unsafe call may start. Its route may have become unsafe after the request was read, while
// earlier calls were in progress. A call whose deadline passed in the line is rejected.
func (c *call) startInTurn(w http.ResponseWriter) *rejection {
	var err error
	if c.route.Kind != rules.KindSafe {
		err = c.awaitTurn(w)
	}
	switch {
	case c.isStopped():
		return stoppingRejection()
	case c.ctx.Err() != nil:
		return &rejection{cause: causeCallerDisconnected, err: context.Cause(c.ctx)}
	case err != nil, !c.h.clock.Now().Before(c.deadline):
		return &rejection{status: http.StatusServiceUnavailable, cause: causeQueued, retryAfter: retryAfter}
	}
	return nil
}
