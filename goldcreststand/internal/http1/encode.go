package http1

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// headFrame is how a response is delimited, and the fields that are added for it.
type headFrame struct {
	// exclude holds the fields of the handler that are left out.
	exclude map[string]bool
	// length, contentType and connection are added unless they are empty.
	length, contentType, connection string
}

func (f *headFrame) drop(h http.Header, key string) {
	if _, ok := h[key]; !ok {
		return
	}
	if f.exclude == nil {
		f.exclude = make(map[string]bool)
	}
	f.exclude[key] = true
}

// encodeHead encodes the head as net/http's server does. first is the first part of the body.
func (w *response) encodeHead(first []byte) {
	w.encoded = true
	h := w.header
	if w.snapshot != nil {
		h = w.snapshot
	}
	var f headFrame
	w.findTrailers(h, &f)
	w.delimit(h, &f, first)
	w.decideClose(h, &f)
	if !bodyAllowed(w.status) {
		for _, k := range []string{"Content-Type", "Content-Length", "Transfer-Encoding"} {
			if k != "Content-Type" || w.status == http.StatusNotModified {
				f.drop(h, k)
			}
		}
	} else if _, ok := h["Content-Type"]; !ok && len(first) > 0 && h.Get("Content-Encoding") == "" && h.Get("Transfer-Encoding") == "" {
		f.contentType = http.DetectContentType(first)
	}
	w.writeHead(h, &f)
}

// findTrailers records the announced trailers.
func (w *response) findTrailers(h http.Header, f *headFrame) {
	for k := range h {
		if strings.HasPrefix(k, http.TrailerPrefix) {
			f.drop(h, k)
		}
	}
	for _, v := range h["Trailer"] {
		for k := range strings.SplitSeq(v, ",") {
			switch k = http.CanonicalHeaderKey(textproto.TrimString(k)); k {
			case "", "Transfer-Encoding", "Content-Length", "Trailer":
			default:
				w.trailers = append(w.trailers, k)
			}
		}
	}
}

// delimit decides how the end of the body is told.
func (w *response) delimit(h http.Header, f *headFrame, first []byte) {
	head := w.x.req.Method == http.MethodHead
	f.drop(h, "Transfer-Encoding")
	trailers := len(h["Trailer"]) > 0 || haveTrailers(h)
	if w.returned && !trailers && h.Get("Transfer-Encoding") == "" && bodyAllowed(w.status) && w.declared < 0 && (!head || len(first) > 0) {
		w.declared = int64(len(first))
		f.length = strconv.Itoa(len(first))
	}
	switch {
	case head || !bodyAllowed(w.status) || w.declared >= 0:
	case w.x.req.ProtoAtLeast(1, 1) && h.Get("Transfer-Encoding") != "identity":
		w.chunked = true
		f.drop(h, "Content-Length")
	default:
		w.closes = true
	}
}

// haveTrailers reports whether the header has trailers that were not announced.
func haveTrailers(h http.Header) bool {
	for k := range h {
		if strings.HasPrefix(k, http.TrailerPrefix) {
			return true
		}
	}
	return false
}

// decideClose decides whether the connection ends with the response.
func (w *response) decideClose(h http.Header, f *headFrame) {
	req := w.x.req
	announced := hasToken(h["Connection"], "close")
	w.closes = w.closes || announced || req.Close || w.x.body != nil && w.x.body.mustClose(w.status)
	switch _, set := h["Connection"]; {
	case w.closes && !announced:
		f.drop(h, "Connection")
		if req.ProtoAtLeast(1, 1) {
			f.connection = "close"
		}
	case !w.closes && !req.ProtoAtLeast(1, 1) && !set:
		f.connection = "keep-alive"
	}
}

// writeHead writes the status line and the fields.
func (w *response) writeHead(h http.Header, f *headFrame) {
	out := w.buffer()
	writeStatusLine(out, w.x.req.ProtoAtLeast(1, 1), w.status)
	_ = h.WriteSubset(out, f.exclude)
	if _, ok := h["Date"]; !ok {
		out.WriteString("Date: ")
		out.Write(time.Now().UTC().AppendFormat(out.AvailableBuffer(), http.TimeFormat))
		out.WriteString("\r\n")
	}
	writeField(out, "Content-Length", f.length)
	writeField(out, "Content-Type", f.contentType)
	writeField(out, "Connection", f.connection)
	if w.chunked {
		out.WriteString("Transfer-Encoding: chunked\r\n")
	}
	w.headEnd = out.Len()
	out.WriteString("\r\n")
}

func writeField(out *bytes.Buffer, name, value string) {
	if value == "" {
		return
	}
	out.WriteString(name)
	out.WriteString(": ")
	out.WriteString(value)
	out.WriteString("\r\n")
}

func writeStatusLine(out *bytes.Buffer, http11 bool, status int) {
	version := "HTTP/1.0 "
	if http11 {
		version = "HTTP/1.1 "
	}
	out.WriteString(version)
	out.Write(strconv.AppendInt(out.AvailableBuffer(), int64(status), 10))
	out.WriteByte(' ')
	if text := http.StatusText(status); text != "" {
		out.WriteString(text)
	} else {
		out.WriteString("status code ")
		out.WriteString(strconv.Itoa(status))
	}
	out.WriteString("\r\n")
}

// bodyAllowed reports whether a response with the status may have a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// hasToken reports whether a list of tokens contains the token.
func hasToken(values []string, token string) bool {
	for _, v := range values {
		for t := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(textproto.TrimString(t), token) {
				return true
			}
		}
	}
	return false
}
