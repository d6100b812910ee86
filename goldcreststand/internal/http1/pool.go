package http1

import (
	"bufio"
	"bytes"
	"io"
	"sync"
)

const (
	// writeBufferSize is the size up to which a response is gathered before it is written.
	writeBufferSize = 4 << 10
	// maxWrite is the size of a single write. A caller that takes none of it for the stall timeout is cut off.
	maxWrite = 64 << 10
	// copySize is the size of the buffers by which bodies are copied.
	copySize = 32 << 10
)

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}
	buffers = sync.Pool{New: func() any { return bytes.NewBuffer(make([]byte, 0, writeBufferSize)) }}
	copies  = sync.Pool{New: func() any { return new([copySize]byte) }}
)

func getReader(r io.Reader) *bufio.Reader {
	br := readers.Get().(*bufio.Reader)
	br.Reset(r)
	return br
}

func putReader(br *bufio.Reader) {
	br.Reset(nil)
	readers.Put(br)
}

func getBuffer() *bytes.Buffer { return buffers.Get().(*bytes.Buffer) }

// putBuffer returns a buffer to the pool. Large ones are left to the garbage collector.
func putBuffer(b *bytes.Buffer) {
	if b.Cap() > 2*writeBufferSize {
		return
	}
	b.Reset()
	buffers.Put(b)
}
