package edge

import (
	"bufio"
	"bytes"
	"net/textproto"

	"github.com/zeebo/errs"
)

// errFaultyFraming reports a response of which it is not certain where its body ends.
var errFaultyFraming = errs.New("framing of the response is faulty")

// hasEncodingBeforeHTTP11 reports whether the next response has a version below HTTP/1.1 and a Transfer-Encoding, and so a faulty
// framing (RFC 9112, section 6.1). net/http drops that field. Only the part of the head that fits into the buffer counts.
func hasEncodingBeforeHTTP11(br *bufio.Reader) bool {
	const http11 = "HTTP/1.1"
	if b, err := br.Peek(len(http11)); err != nil || string(b) == http11 {
		return false
	}
	for {
		// The bytes that are buffered can always be peeked.
		b, _ := br.Peek(br.Buffered())
		end := bytes.Contains(b, []byte("\n\r\n")) || bytes.Contains(b, []byte("\n\n"))
		if !end {
			if _, err := br.Peek(len(b) + 1); err == nil {
				continue
			}
		}
		r := textproto.NewReader(bufio.NewReader(bytes.NewReader(b)))
		if _, err := r.ReadLine(); err != nil {
			return false
		}
		// An incomplete head is reported when the response is read.
		h, _ := r.ReadMIMEHeader()
		return len(h["Transfer-Encoding"]) > 0
	}
}
