package peer

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/goldcreststand/internal/intake"
)

// errTooLarge reports a message that exceeds the size limit. The connection is closed after it.
var errTooLarge = errors.New("message is larger than the limit")

// meter counts the memory of messages that arrive on a connection, and of the requests among them.
type meter interface {
	// MessageRead notes that a message was decoded.
	MessageRead()
	// BeginRequest notes that a request is to be handled, and reports whether there is room for it.
	BeginRequest() bool
	// EndRequest notes that a request was handled.
	EndRequest()
}

var (
	_ meter = (*intake.Conn)(nil)
	_ meter = noMeter{}
)

// noMeter is the meter of a connection that this instance has opened.
type noMeter struct{}

// MessageRead does nothing.
func (noMeter) MessageRead() {}

// BeginRequest always has room.
func (noMeter) BeginRequest() bool { return true }

// EndRequest does nothing.
func (noMeter) EndRequest() {}

// meterOf returns the meter of a connection.
func meterOf(nc net.Conn) meter {
	if m, ok := nc.(meter); ok {
		return m
	}
	return noMeter{}
}

// stream is a stream of JSON values that limits the size of a message and the time between two messages.
type stream struct {
	jsonrpc2.ObjectStream
	conn  *limitedConn
	meter meter
	mu    sync.Mutex
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(raw net.Conn, maxMessageSize ident.Bytes, idleTimeout, timeout time.Duration) *stream {
	conn := &limitedConn{Conn: raw, maxMessageSize: maxMessageSize, idleTimeout: idleTimeout, timeout: timeout}
	return &stream{ObjectStream: jsonrpc2.NewPlainObjectStream(conn), conn: conn, meter: meterOf(raw)}
}

// ReadObject reads the next message. It answers a message that is not JSON-RPC with an error. The connection
// is closed after that, because the start of the next message is unknown.
func (s *stream) ReadObject(v any) error {
	s.conn.remaining = s.conn.maxMessageSize
	err := s.ObjectStream.ReadObject(v)
	if err == nil {
		s.meter.MessageRead()
	}
	if err != nil && !isConnClosed(err) {
		s.reject(err)
	}
	return err
}

// WriteObject writes one message.
func (s *stream) WriteObject(v any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ObjectStream.WriteObject(v)
}

// reject sends an error without an identifier (JSON-RPC 2.0 specification, section 5).
func (s *stream) reject(cause error) {
	type rejection struct {
		Version string          `json:"jsonrpc"`
		ID      json.RawMessage `json:"id"`
		Error   jsonrpc2.Error  `json:"error"`
	}
	code := int64(jsonrpc2.CodeInvalidRequest)
	var syntaxErr *json.SyntaxError
	if errors.As(cause, &syntaxErr) {
		code = jsonrpc2.CodeParseError
	}
	// The write error is ignored because the connection is closed in any case.
	_ = s.WriteObject(rejection{Version: "2.0", ID: json.RawMessage("null"), Error: jsonrpc2.Error{Code: code, Message: cause.Error()}})
}

// isConnClosed reports whether the error means that the connection was closed or idle for too long, as
// opposed to a malformed message.
func isConnClosed(err error) bool {
	var netErr *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &netErr)
}

// limitedConn is a connection that fails when it is idle for too long or when a message is too large.
type limitedConn struct {
	net.Conn
	maxMessageSize ident.Bytes
	idleTimeout    time.Duration
	timeout        time.Duration
	// remaining is the number of bytes that the current message may still have. Only the reading goroutine
	// uses it.
	remaining ident.Bytes
	// reads counts the reads that returned data.
	reads atomic.Uint64
}

// Read reads data and subtracts its size from the remaining size of the message.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errTooLarge
	}
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p[:min(len(p), int(c.remaining))])
	c.remaining -= ident.Bytes(n)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}

// Write writes data. It fails when the peer does not read for the duration of the call timeout.
func (c *limitedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
