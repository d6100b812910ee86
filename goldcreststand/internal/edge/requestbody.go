package edge

import (
	"errors"
	"io"

	"github.com/zeebo/errs"
	"golang.org/x/sync/semaphore"

	"goldcreststand.example/core/ident"
)

const (
	// defaultBodyMemory limits the memory of all long request bodies together.
	defaultBodyMemory ident.Bytes = 128 << 20
	// minBodyPart and maxBodyPart limit the size of a buffer. A body takes several, so that it grows without a copy.
	minBodyPart = 512
	maxBodyPart = 1 << 20
)

// errNoBodyMemory reports that the other bodies take all memory for bodies.
var errNoBodyMemory = errs.New("no memory for the request's body")

// bodyMemory limits the memory that long request bodies take together. Bodies up to maxSmallBody do not count for it; their
// holder counts all.
type bodyMemory struct{ sem *semaphore.Weighted }

func newBodyMemory(limit ident.Bytes) bodyMemory {
	return bodyMemory{semaphore.NewWeighted(int64(limit))}
}

// requestBody is the body of a caller's request.
type requestBody struct {
	parts [][]byte
	size  int64
	// reserved is the memory that the body has reserved among the long ones, held what its holder has counted.
	reserved, held int64
}

// read reads the stream to its end. The length is that of the body, or negative if it is unknown.
func (b *requestBody) read(stream io.Reader, length int64, m bodyMemory, h Holder) error {
	if !b.reserve(length, m, h) {
		return errNoBodyMemory
	}
	for {
		n := b.nextPart(length)
		if length < 0 && !b.reserve(b.size+n, m, h) {
			return errNoBodyMemory
		}
		switch err := b.readPart(stream, n); {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// nextPart returns the size of the next buffer.
func (b *requestBody) nextPart(length int64) int64 {
	n := b.size
	if length >= 0 {
		n = length - b.size
	}
	return max(minBodyPart, min(n, maxBodyPart))
}

// readPart reads the next buffer of the body.
func (b *requestBody) readPart(stream io.Reader, size int64) error {
	part := make([]byte, 0, size)
	var err error
	for err == nil && len(part) < cap(part) {
		var n int
		n, err = stream.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
	}
	if len(part) > 0 {
		b.parts, b.size = append(b.parts, part), b.size+int64(len(part))
	}
	return err
}

// reserve reserves memory for a body of the size.
func (b *requestBody) reserve(size int64, m bodyMemory, h Holder) bool {
	if size > b.held {
		if !h.TakeBody(ident.Bytes(size - b.held)) {
			return false
		}
		b.held = size
	}
	if size <= max(maxSmallBody, b.reserved) {
		return true
	}
	if !m.sem.TryAcquire(size - b.reserved) {
		return false
	}
	b.reserved = size
	return true
}

// release ends the use of the memory.
func (b *requestBody) release(m bodyMemory) {
	m.sem.Release(b.reserved)
	*b = requestBody{}
}

// writeTo writes the body.
func (b *requestBody) writeTo(w io.Writer) error {
	for _, p := range b.parts {
		if _, err := w.Write(p); err != nil {
			return err
		}
	}
	return nil
}
