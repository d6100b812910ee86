package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/zeebo/errs"
)

// maxUnpacked is the size in bytes of the largest content of a Packed that is read. A configuration of several
// thousand routes has about 1 MB.
const maxUnpacked = 8 << 20

var errUnpacked = errs.New("content is larger than the limit")

// Packed is content that is compressed on the wire, since large fleets hear of changes over slow links.
type Packed []byte

// Packer compresses content. It keeps its compressors, each of which holds several hundred kilobytes. The zero
// value is ready, and safe for concurrent use.
type Packer struct{ pool sync.Pool }

// Pack compresses the content.
func (p *Packer) Pack(content []byte) (Packed, error) {
	w, ok := p.pool.Get().(*flate.Writer)
	var out bytes.Buffer
	if ok {
		w.Reset(&out)
	} else {
		var err error
		if w, err = flate.NewWriter(&out, flate.BestSpeed); err != nil {
			return nil, err
		}
	}
	defer p.pool.Put(w)
	if _, err := w.Write(content); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Unpack returns the content. Content above the limit, and content that was cut short, is an error.
func (p Packed) Unpack() ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p)), maxUnpacked+1))
	if err == nil && len(out) > maxUnpacked {
		err = errUnpacked
	}
	return out, err
}
