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
)

// errTooLarge reports a message above the limit. The connection is closed after it.
var errTooLarge = errors.New("message is larger than the limit")

// stream is a stream of JSON values that bounds the size of a message and the time between two.
type stream struct {
	jsonrpc2.ObjectStream
	conn *bounded
	mu   sync.Mutex
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(raw net.Conn, maximum ident.Bytes, idle, timeout time.Duration) *stream {
	b := &bounded{Conn: raw, maximum: maximum, idle: idle, timeout: timeout}
	return &stream{ObjectStream: jsonrpc2.NewPlainObjectStream(b), conn: b}
}

// ReadObject reads the next message. A message that is no JSON-RPC is answered with an error; the
// connection ends after it, because the place of the next message is unknown.
func (s *stream) ReadObject(v any) error {
	s.conn.left = s.conn.maximum
	err := s.ObjectStream.ReadObject(v)
	if err != nil && !closed(err) {
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
	var syntax *json.SyntaxError
	if errors.As(cause, &syntax) {
		code = jsonrpc2.CodeParseError
	}
	// The connection is closed in any case, so a failed write changes nothing.
	_ = s.WriteObject(rejection{Version: "2.0", ID: json.RawMessage("null"), Error: jsonrpc2.Error{Code: code, Message: cause.Error()}})
}

// closed reports whether the connection ended or was idle for too long, as opposed to a bad message.
func closed(err error) bool {
	var broken *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &broken)
}

// bounded is a connection that ends when it is idle or when a message is too large.
type bounded struct {
	net.Conn
	maximum ident.Bytes
	idle    time.Duration
	timeout time.Duration
	// left is what the message may still have. Only the reading goroutine uses it.
	left ident.Bytes
	// reads counts the reads that returned data.
	reads atomic.Uint64
}

// Read reads and takes what it read from the message's allowance.
func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLarge
	}
	if err := b.SetReadDeadline(time.Now().Add(b.idle)); err != nil {
		return 0, err
	}
	n, err := b.Conn.Read(p[:min(len(p), int(b.left))])
	b.left -= ident.Bytes(n)
	if n > 0 {
		b.reads.Add(1)
	}
	return n, err
}

// Write writes; a peer that does not read for the length of a call's timeout ends the connection.
func (b *bounded) Write(p []byte) (int, error) {
	if err := b.SetWriteDeadline(time.Now().Add(b.timeout)); err != nil {
		return 0, err
	}
	return b.Conn.Write(p)
}
