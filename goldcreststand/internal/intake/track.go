package intake

import (
	"context"
	"net"
	"net/http"

	"goldcreststand.example/core/budget"
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// WithConn adds the connection to the context of its requests, for ConnOf.
func WithConn(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// ConnOf returns the connection in the context of a request, and whether there is one.
func ConnOf(ctx context.Context) (*Conn, bool) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	return c, ok
}

// ConnState gives back the head of a request when net/http has released it. It is for servers whose handler is that of Track.
// Connections that end give back all they hold by themselves.
func ConnState(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*Conn); ok && s == http.StateIdle {
		c.releaseHead()
	}
}

// Track returns a handler that counts what the heads of requests hold until ConnState gives it back. After the response to a
// request that has a body the connection ends. net/http waits for the rest of the body before that, so that such a request gets no
// response when many connections are open.
func Track(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := ConnOf(r.Context())
		if r.ContentLength != 0 {
			if ok && c.halfFull() {
				// net/http would still wait for the rest of the body before it closes the connection.
				_ = c.Close()
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Connection", "close")
		}
		if ok {
			fields, size := headSize(r.Header)
			c.beginTracked(fields, size)
			defer c.endTracked()
		}
		h.ServeHTTP(w, r)
	})
}

// halfFull reports whether the connection's class has half of the connections that it may have.
func (c *Conn) halfFull() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if !c.gate.budget.HalfFull(c.class) {
		return false
	}
	c.gate.note(measure{action: actionRefuse, class: c.class, cause: budget.ItemBody.String()}, c, budget.Victim{})
	return true
}

// beginTracked counts a head that was parsed, in place of what was counted while it arrived. It is held whether there is
// room or not.
func (c *Conn) beginTracked(fields, size int64) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.metering = false
	c.requests++
	b := c.gate.budget
	b.Release(c.id, budget.ItemHead)
	b.Release(c.id, budget.ItemField)
	b.Charge(c.id, budget.ItemHead, size)
	b.Charge(c.id, budget.ItemField, fields)
	c.gate.enter(c)
}

// endTracked notes that the handler has returned. The head stays counted, since net/http holds it until the rest of the body has
// arrived and the response was taken.
func (c *Conn) endTracked() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.requests--
	c.gate.enter(c)
}

// releaseHead gives back the head of a request. The next bytes belong to another one.
func (c *Conn) releaseHead() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.metering = true
	c.gate.budget.Discard(c.id)
	c.gate.signalRoom()
}

// headSize returns the number and the size of header fields.
func headSize(h http.Header) (fields, size int64) {
	for k, vs := range h {
		for _, v := range vs {
			fields, size = fields+1, size+int64(len(k)+len(v))
		}
	}
	return fields, size
}
