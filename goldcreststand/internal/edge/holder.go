package edge

import (
	"net/http"

	"goldcreststand.example/core/ident"
)

// Holder counts what a call makes this instance hold until it is answered. The server's response writer is one.
type Holder interface {
	// TakeBody reserves memory for further bytes of the body, and reports whether there is room.
	TakeBody(n ident.Bytes) bool
	// BodyRead notes that the request has arrived whole.
	BodyRead()
	// HoldAnswer counts an answer that the caller has not taken.
	HoldAnswer(n ident.Bytes)
}

var _ Holder = noHolder{}

// noHolder is the holder of a call that is not counted.
type noHolder struct{}

// TakeBody always has room.
func (noHolder) TakeBody(ident.Bytes) bool { return true }

// BodyRead does nothing.
func (noHolder) BodyRead() {}

// HoldAnswer does nothing.
func (noHolder) HoldAnswer(ident.Bytes) {}

// holderOf returns the holder of a call.
func holderOf(w http.ResponseWriter) Holder {
	if h, ok := w.(Holder); ok {
		return h
	}
	return noHolder{}
}
