package proxy

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/notice"
	"goldcreststand.example/core/retry"
	"goldcreststand.example/core/route"
	"goldcreststand.example/lib/header"
)

// disconnectDetectionDelay is the time within which a server detects a closed connection: one-way latency between
// failure domains is 1.5 ms, the rest is for a busy server.
const disconnectDetectionDelay = 10 * time.Millisecond

// try is one try of a call at one server.
type try struct {
	call   *forwardedCall
	number retry.TryNumber
	target
	pool      *connPool
	remaining time.Duration
	start     time.Time
	ctx       context.Context
	cancel    context.CancelCauseFunc

	conn     *conn
	verified bool
	// resp is set before ResponseReceived or ErrorResponseReceived is posted.
	resp *http.Response
	// unlinkContext stops the propagation of the call's cancellation. It is set once the response is used for
	// the call.
	unlinkContext func() bool
	outcome       route.TryOutcome
	once          sync.Once
}

// run sends the request and posts the result. A panic ends only this try.
func (t *try) run() {
	defer func() {
		if p := recover(); p != nil {
			t.call.h.log.Errorf("try at %s panicked: %v", t.server.ID, p)
			t.fail(t.conn != nil)
		}
	}()
	for {
		var err error
		t.conn, t.verified, err = t.pool.acquire(t.ctx, t.server.MaxConns, t.call.params.idempotent)
		if err != nil {
			t.conn = nil
			t.fail(false)
			return
		}
		if t.call.snapshotExpired() {
			t.pool.release(t.conn)
			t.conn = nil
			t.fail(false)
			return
		}
		t.call.post(retry.TryConnected{At: t.call.now(), Try: t.number, Verified: t.verified})
		resp, err := t.conn.roundTrip(t.request())
		if err == nil && t.conn.requestStarted() {
			t.handleResponse(resp)
			return
		}
		if err == nil {
			_ = resp.Body.Close()
			err = errConnUsedUp
		}
		wrote := t.pool.discard(t.conn, !t.verified)
		t.conn = nil
		// An idle connection that the server had closed is replaced, because nothing was sent on it.
		if !wrote && errors.Is(err, errConnUsedUp) && t.ctx.Err() == nil && !t.call.body.consumed() {
			continue
		}
		t.fail(wrote)
		return
	}
}

// request returns the outgoing request of this try.
func (t *try) request() *http.Request {
	req := t.call.outReq.WithContext(t.ctx)
	u := *req.URL
	u.Scheme, u.Host = "http", t.server.Address.String()
	req.URL = &u
	req.Header = req.Header.Clone()
	left := max(time.Millisecond, t.remaining-t.call.now().Sub(t.start))
	req.Header.Set(headerTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	t.call.body.attach(req)
	return req
}

// fail ends the try without a response.
func (t *try) fail(wrote bool) {
	ev := retry.Event(retry.ConnectFailed{At: t.call.now(), Try: t.number, BodyConsumed: t.call.body.consumed()})
	result := route.ResultRefused
	if wrote {
		ev = retry.ConnectionBroken{At: t.call.now(), Try: t.number, BodyConsumed: t.call.body.consumed()}
		result = route.ResultBroken
	}
	t.finish(t.canceledResult(result), false)
	t.call.post(ev)
}

// handleResponse classifies the response by its status and headers and posts the event for it.
func (t *try) handleResponse(resp *http.Response) {
	now, consumed := t.call.now(), t.call.body.consumed()
	t.outcome.Latency = now.Sub(t.start)
	t.recordNotice(resp)
	t.outcome.Draining = resp.Close
	t.outcome.Inflight, t.outcome.Slots = parseLoad(resp.Header.Get(headerLoad))
	t.resp = resp
	switch {
	case !header.HasDelimitedBody(resp):
		// The end of a body that is delimited by the close of the connection is indistinguishable from a
		// truncation.
		_ = resp.Body.Close()
		t.finish(route.ResultBroken, false)
		t.call.post(retry.ConnectionBroken{At: now, Try: t.number, BodyConsumed: consumed})
	case t.call.extraHop:
		t.postResponse(retry.ResponseReceived{At: now, Try: t.number})
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerExecuted) == "?0":
		_ = resp.Body.Close()
		// A late copy of the refusal would be taken for that of the next call, so that the connection is not reused.
		t.finish(route.ResultShed, false)
		t.call.post(retry.TryShed{At: now, Try: t.number, BodyConsumed: consumed})
	case retryableStatus(resp.StatusCode):
		t.postResponse(retry.ErrorResponseReceived{At: now, Try: t.number, BodyConsumed: consumed})
	default:
		t.postResponse(retry.ResponseReceived{At: now, Try: t.number})
	}
}

// recordNotice records what the response says about the availability of its server.
func (t *try) recordNotice(resp *http.Response) {
	if t.server.Availability == nil {
		return
	}
	n := notice.Notice{Leaving: resp.Header.Get(headerLeaving) == "?1"}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		n.Pause = header.RetryAfter(resp.Header)
	}
	t.server.Availability.Record(t.call.h.elapsed.Elapsed(), n)
}

// postResponse posts a response, and discards it when the call has ended.
func (t *try) postResponse(ev retry.Event) {
	if !t.call.post(ev) {
		t.discardResponse()
	}
}

// discardResponse discards a response that is not sent to the caller.
func (t *try) discardResponse() {
	stop := context.AfterFunc(t.call.ctx, func() { t.cancel(context.Cause(t.call.ctx)) })
	defer stop()
	t.finish(t.result(), discardBody(t.resp))
}

// result returns the result of a complete response.
func (t *try) result() route.Result {
	if t.resp.StatusCode >= http.StatusInternalServerError {
		return route.ResultFailed
	}
	return route.ResultOK
}

// canceledResult returns the result of a try that ended without a complete response: the result for the
// cancellation if the try was canceled, otherwise r.
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

// finish releases the connection and the slot and reports the outcome. Only the first call has an effect. The
// connection is reused only after a complete response.
func (t *try) finish(r route.Result, complete bool) {
	t.once.Do(func() {
		if t.conn != nil && complete && !t.resp.Close {
			t.pool.release(t.conn)
		} else if t.conn != nil {
			t.pool.discard(t.conn, !t.verified)
		}
		if t.unlinkContext != nil {
			t.unlinkContext()
		}
		t.cancel(nil)
		if t.outcome.Latency == 0 {
			t.outcome.Latency = t.call.now().Sub(t.start)
		}
		t.outcome.Result = r
		t.releaseSlot()
		t.call.recordOutcome(t, r)
	})
}

// releaseSlot releases the slot. After a cancellation the server keeps working until it detects the closed
// connection; the slot stays in use until then, because a new call would exceed the server's slots.
func (t *try) releaseSlot() {
	switch t.outcome.Result {
	case route.ResultCanceled, route.ResultTimeout:
		t.call.h.clock.AfterFunc(disconnectDetectionDelay, func() { t.release(t.outcome) })
	case route.ResultOK, route.ResultFailed, route.ResultShed, route.ResultRefused, route.ResultBroken:
		t.release(t.outcome)
	}
}

// responseBody is the body of the response that is sent to the caller.
type responseBody struct {
	io.ReadCloser
	t *try
}

// Read finishes the try at the end of the body. A body with an invalid trailer is broken.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = cmp.Or(header.CheckFields(b.t.resp.Trailer), err)
	}
	if errors.Is(err, io.EOF) {
		b.t.finish(b.t.result(), true)
	} else if err != nil {
		b.t.finish(b.t.canceledResult(route.ResultBroken), false)
	}
	return n, err
}

// Close finishes the try. Before the end of the body it means that the caller disconnected.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.t.finish(b.t.canceledResult(route.ResultCanceled), false)
	return err
}

// retryableStatus reports whether another server may respond successfully after a response with the status.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// parseLoad parses a Load header: calls in flight and slots. It returns zeros for a missing or invalid header.
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
