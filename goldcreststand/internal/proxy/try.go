package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/retry"
	"goldcreststand.example/core/route"
)

// noticeTime is the time after which a server has noticed that a connection was closed: a trip between
// failure domains takes 1.5 ms, the rest is for a busy server.
const noticeTime = 10 * time.Millisecond

// try is one try of a call at one server.
type try struct {
	x *run
	n retry.TryNumber
	grant
	set       *connSet
	remaining time.Duration
	start     time.Time
	ctx       context.Context
	cancel    context.CancelCauseFunc

	conn   *conn
	proved bool
	// resp is set before Responded or Failed is posted.
	resp *http.Response
	// unlink ends the link to the call's context, which there is once the response is that of the call.
	unlink  func() bool
	outcome route.TryOutcome
	once    sync.Once
}

// run carries out the try and posts how it ended. A panic ends the try only.
func (t *try) run() {
	defer func() {
		if p := recover(); p != nil {
			t.x.h.log.Errorf("try at %s panicked: %v", t.server.ID, p)
			t.fail(t.conn != nil)
		}
	}()
	for {
		var err error
		t.conn, t.proved, err = t.set.take(t.ctx, t.server.MaxConns, t.x.call.idempotent)
		if err != nil {
			t.conn = nil
			t.fail(false)
			return
		}
		if t.x.expired() {
			t.set.put(t.conn)
			t.conn = nil
			t.fail(false)
			return
		}
		t.x.post(retry.TryConnected{At: t.x.now(), Try: t.n, Verified: t.proved})
		resp, err := t.conn.transport.RoundTrip(t.request())
		if err == nil && t.conn.asked() {
			t.responded(resp)
			return
		}
		if err == nil {
			_ = resp.Body.Close()
			err = errSpent
		}
		wrote := t.set.discard(t.conn, !t.proved)
		t.conn = nil
		// An idle connection that the server had closed is replaced: nothing was sent on it.
		if !wrote && errors.Is(err, errSpent) && t.ctx.Err() == nil && !t.x.body.spent() {
			continue
		}
		t.fail(wrote)
		return
	}
}

// request returns the request of this try.
func (t *try) request() *http.Request {
	req := t.x.out.WithContext(t.ctx)
	u := *req.URL
	u.Scheme, u.Host = "http", t.server.Address.String()
	req.URL = &u
	req.Header = req.Header.Clone()
	left := max(time.Millisecond, t.remaining-t.x.now().Sub(t.start))
	req.Header.Set(headerTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	t.x.body.attach(req)
	return req
}

// fail ends the try without a response.
func (t *try) fail(wrote bool) {
	ev := retry.Event(retry.ConnectFailed{At: t.x.now(), Try: t.n, BodyConsumed: t.x.body.spent()})
	result := route.ResultRefused
	if wrote {
		ev = retry.ConnectionBroken{At: t.x.now(), Try: t.n, BodyConsumed: t.x.body.spent()}
		result = route.ResultBroken
	}
	t.finish(t.canceledResult(result), false)
	t.x.post(ev)
}

// responded posts what the head of the response says.
func (t *try) responded(resp *http.Response) {
	now, spent := t.x.now(), t.x.body.spent()
	t.outcome.Latency = now.Sub(t.start)
	t.outcome.Draining = resp.Close
	t.outcome.Inflight, t.outcome.Slots = parseLoad(resp.Header.Get(headerLoad))
	t.resp = resp
	switch {
	case !framed(resp):
		// The end of a body without a length cannot be told from a truncation.
		_ = resp.Body.Close()
		t.finish(route.ResultBroken, false)
		t.x.post(retry.ConnectionBroken{At: now, Try: t.n, BodyConsumed: spent})
	case t.x.hop:
		t.offer(retry.ResponseReceived{At: now, Try: t.n})
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerExecuted) == "?0":
		t.finish(route.ResultShed, drain(resp))
		t.x.post(retry.TryShed{At: now, Try: t.n, BodyConsumed: spent})
	case retryable(resp.StatusCode):
		t.offer(retry.ErrorResponseReceived{At: now, Try: t.n, BodyConsumed: spent})
	default:
		t.offer(retry.ResponseReceived{At: now, Try: t.n})
	}
}

// offer posts a response, and drops it when the call has ended.
func (t *try) offer(ev retry.Event) {
	if !t.x.post(ev) {
		t.drop()
	}
}

// drop discards the response; it can no longer reach the caller.
func (t *try) drop() {
	stop := context.AfterFunc(t.x.ctx, func() { t.cancel(context.Cause(t.x.ctx)) })
	defer stop()
	t.finish(t.result(), drain(t.resp))
}

// result returns the result of a complete response.
func (t *try) result() route.Result {
	if t.resp.StatusCode >= http.StatusInternalServerError {
		return route.ResultFailed
	}
	return route.ResultOK
}

// canceledResult returns the result of a try that ended without a complete response: that of the
// cancellation when there was one.
func (t *try) canceledResult(r route.Result) route.Result {
	cause := context.Cause(t.ctx)
	switch {
	case cause == nil:
		return r
	case errors.Is(cause, errDeadline):
		return route.ResultTimeout
	default:
		return route.ResultCanceled
	}
}

// finish gives back the connection and the slot and reports the outcome. Only the first call counts. A
// connection is kept only after a complete response.
func (t *try) finish(r route.Result, complete bool) {
	t.once.Do(func() {
		if t.conn != nil && complete && !t.resp.Close {
			t.set.put(t.conn)
		} else if t.conn != nil {
			t.set.discard(t.conn, !t.proved)
		}
		if t.unlink != nil {
			t.unlink()
		}
		t.cancel(nil)
		if t.outcome.Latency == 0 {
			t.outcome.Latency = t.x.now().Sub(t.start)
		}
		t.outcome.Result = r
		t.leave()
		t.x.ended(t, r)
	})
}

// leave gives back the slot. A server that was left before its response ended works on until it notices;
// its slot stays taken for that time, so that it never holds more calls than its slots.
func (t *try) leave() {
	switch t.outcome.Result {
	case route.ResultCanceled, route.ResultTimeout:
		t.x.h.clock.AfterFunc(noticeTime, func() { t.release(t.outcome) })
	case route.ResultOK, route.ResultFailed, route.ResultShed, route.ResultRefused, route.ResultBroken:
		t.release(t.outcome)
	}
}

// tryBody is the body of the response that goes to the caller.
type tryBody struct {
	io.ReadCloser
	t *try
}

// Read finishes the try at the end of the body.
func (b *tryBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.t.finish(b.t.result(), true)
	} else if err != nil {
		b.t.finish(b.t.canceledResult(route.ResultBroken), false)
	}
	return n, err
}

// Close finishes the try; before the end of the body this means that the caller went away.
func (b *tryBody) Close() error {
	err := b.ReadCloser.Close()
	b.t.finish(b.t.canceledResult(route.ResultCanceled), false)
	return err
}

// framed reports whether the end of the response's body is marked, by a length or by chunks.
func framed(resp *http.Response) bool {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// retryable reports whether another server may give a better response than one with the status.
func retryable(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// parseLoad reads a Load header: calls in flight and slots. It returns zeros when there is none.
func parseLoad(v string) (inflight, slots ident.Slots) {
	a, b, ok := strings.Cut(v, "/")
	if !ok {
		return 0, 0
	}
	n, err := strconv.ParseUint(a, 10, 31)
	if err != nil {
		return 0, 0
	}
	m, err := strconv.ParseUint(b, 10, 31)
	if err != nil {
		return 0, 0
	}
	return ident.Slots(n), ident.Slots(m)
}
