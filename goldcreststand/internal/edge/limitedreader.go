package edge

import (
	"io"
	"math"

	"github.com/zeebo/errs"
)

const (
	// maxResponseHead limits the bytes of a response's head, and of a whole reply to a status check.
	maxResponseHead = 64 << 10
	// maxResponseFields limits the header fields of a response.
	maxResponseFields = 256
	// maxSmallBody is the size up to which every body is buffered.
	maxSmallBody = 64 << 10
	// maxBufferedBody is the size up to which a body is buffered if few other long ones are. The call can be retried if a
	// buffered body is truncated; longer bodies are streamed.
	maxBufferedBody = 1 << 20
	// maxLongBodies is the number of bodies above maxSmallBody that are buffered at a time.
	maxLongBodies = 16
)

// errResponseTooLarge reports a response head without an end.
var errResponseTooLarge = errs.New("head of the response is larger than the limit")

// limitedReader reads from a connection and fails when more bytes arrive than the current part of a response may have.
type limitedReader struct {
	r    io.Reader
	left int64
}

// Read reads up to the limit.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// startHead sets the limit for the head of the next response.
func (l *limitedReader) startHead() { l.left = maxResponseHead }

// startBody removes the limit, because the reader of a body has its own.
func (l *limitedReader) startBody() { l.left = math.MaxInt64 }

// longBodies limits the memory that long bodies take together. Each value in the channel is a body that is buffered.
type longBodies chan struct{}

func newLongBodies() longBodies { return make(longBodies, maxLongBodies) }

// reserve reports whether one more long body may be buffered. The caller then releases it.
func (b longBodies) reserve() bool {
	select {
	case b <- struct{}{}:
		return true
	default:
		return false
	}
}

func (b longBodies) release() { <-b }
