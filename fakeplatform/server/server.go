// Package server runs the fake platform inside the process of a test.
package server

import (
	"net/http"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/fakeplatform/internal/fault"
	"goldcreststand.example/fakeplatform/internal/store"
)

// New returns the HTTP interface of a fake platform with an empty store and without faults.
func New(clock clockwork.Clock) http.Handler {
	return store.NewHandler(store.New(clock), clock, fault.New(clock))
}
