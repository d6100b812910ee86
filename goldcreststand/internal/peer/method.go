package peer

import (
	"context"
	"encoding/json"
	"errors"
	"runtime/debug"

	"github.com/sourcegraph/jsonrpc2"
)

// codeBusy is the error code of a request that was rejected because too many are handled already. The
// range -32000 to -32099 is left to implementations by the JSON-RPC 2.0 specification, section 5.1.
const codeBusy = -32000

// Handler answers a request. The error may be a *jsonrpc2.Error; any other becomes an internal error.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Method returns the handler that decodes the parameter into P, which validates itself, and calls h.
func Method[P, R any](h func(context.Context, *P) (*R, error)) Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		v := new(P)
		if err := json.Unmarshal(params, v); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return h(ctx, v)
	}
}

// dispatcher hands the requests of one connection to the registered methods.
type dispatcher struct {
	peer *Peer
	free chan struct{}
}

var _ jsonrpc2.Handler = (*dispatcher)(nil)

// Handle answers the request in a goroutine of its own, so that a slow method does not delay a heartbeat.
func (d *dispatcher) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	select {
	case d.free <- struct{}{}:
	default:
		d.fail(ctx, c, r, &jsonrpc2.Error{Code: codeBusy, Message: "too many requests on this connection"})
		return
	}
	go func() {
		defer func() { <-d.free }()
		d.answer(ctx, c, r)
	}()
}

func (d *dispatcher) answer(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	ctx, cancel := context.WithTimeout(ctx, d.peer.timeout)
	defer cancel()
	v, err := d.invoke(ctx, r)
	if err != nil {
		d.fail(ctx, c, r, err)
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
	// A message of one peer must not end this process.
	defer func() {
		if f := recover(); f != nil {
			d.peer.log.Warnf("method %s failed: %v\n%s", r.Method, f, debug.Stack())
			err = Error.New("internal fault in method %s", r.Method)
		}
	}()
	return h(ctx, *r.Params)
}

func (d *dispatcher) fail(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request, err error) {
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
