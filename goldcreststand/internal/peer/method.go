package peer

import (
	"context"
	"encoding/json"
	"errors"
	"runtime/debug"

	"github.com/sourcegraph/jsonrpc2"
)

// codeTooManyRequests is the error code of a request that is rejected because too many are being handled. The
// JSON-RPC 2.0 specification, section 5.1, reserves the range -32000 to -32099 for implementations.
const codeTooManyRequests = -32000

// Handler handles a request. If the error is not a *jsonrpc2.Error, it is sent as an internal error.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Method returns a handler that decodes the parameters into P, which validates itself while it is decoded,
// and calls h.
func Method[P, R any](h func(context.Context, *P) (*R, error)) Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		v := new(P)
		if err := json.Unmarshal(params, v); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return h(ctx, v)
	}
}

// dispatcher passes the requests of one connection to the registered methods.
type dispatcher struct {
	peer  *Peer
	meter meter
	sem   chan struct{}
}

var _ jsonrpc2.Handler = (*dispatcher)(nil)

// Handle handles the request in a separate goroutine to keep a slow method from delaying a heartbeat.
func (d *dispatcher) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	select {
	case d.sem <- struct{}{}:
	default:
		d.replyError(ctx, c, r, &jsonrpc2.Error{Code: codeTooManyRequests, Message: "too many requests on this connection"})
		return
	}
	if !d.meter.BeginRequest() {
		<-d.sem
		d.replyError(ctx, c, r, &jsonrpc2.Error{Code: codeTooManyRequests, Message: "no memory for the request"})
		return
	}
	go func() {
		defer func() { <-d.sem }()
		defer d.meter.EndRequest()
		d.respond(ctx, c, r)
	}()
}

func (d *dispatcher) respond(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	ctx, cancel := context.WithTimeout(ctx, d.peer.timeout)
	defer cancel()
	v, err := d.invoke(ctx, r)
	if err != nil {
		d.replyError(ctx, c, r, err)
		return
	}
	if r.Notif {
		return
	}
	if err := c.Reply(ctx, r.ID, v); err != nil {
		d.peer.log.Debugf("sending the result of %s failed: %v", r.Method, err)
	}
}

func (d *dispatcher) invoke(ctx context.Context, r *jsonrpc2.Request) (v any, err error) {
	h, ok := d.peer.methods[r.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "params missing"}
	}
	// A panic caused by a peer's message must not end this process.
	defer func() {
		if cause := recover(); cause != nil {
			d.peer.log.Warnf("method %s failed: %v\n%s", r.Method, cause, debug.Stack())
			err = Error.New("internal fault in method %s", r.Method)
		}
	}()
	return h(ctx, *r.Params)
}

func (d *dispatcher) replyError(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request, err error) {
	if r.Notif {
		return
	}
	var reply *jsonrpc2.Error
	if !errors.As(err, &reply) {
		reply = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	if err := c.ReplyWithError(ctx, r.ID, reply); err != nil {
		d.peer.log.Debugf("sending the error of %s failed: %v", r.Method, err)
	}
}
