package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/zeebo/errs"
)

// maxDecompressedBytes limits the size of decompressed content. A configuration with several thousand routes has
// about 1 MB.
const maxDecompressedBytes = 8 << 20

var errTooLarge = errs.New("content is larger than the limit")

// Compressed is compressed message content. It saves bandwidth when large deployments receive changes over slow links.
type Compressed []byte

// Compressor compresses content. It pools its flate writers, which take several hundred kilobytes each. The zero
// value is ready to use. It is safe for concurrent use.
type Compressor struct{ pool sync.Pool }

// Compress compresses the content.
func (c *Compressor) Compress(content []byte) (Compressed, error) {
	w, ok := c.pool.Get().(*flate.Writer)
	var out bytes.Buffer
	if ok {
		w.Reset(&out)
	} else {
		var err error
		if w, err = flate.NewWriter(&out, flate.BestSpeed); err != nil {
			return nil, err
		}
	}
	defer c.pool.Put(w)
	if _, err := w.Write(content); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Decompress returns the decompressed content. It fails if the content is above the limit or truncated.
func (c Compressed) Decompress() ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(c)), maxDecompressedBytes+1))
	if err == nil && len(out) > maxDecompressedBytes {
		err = errTooLarge
	}
	return out, err
}
