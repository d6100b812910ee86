// Package server gives tests of other programs the platform's stand-in inside their own process.
package server

import (
	"net/http"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/fakeplatform/internal/fault"
	"goldcreststand.example/fakeplatform/internal/store"
)

// New returns the HTTP interface of an empty platform without faults.
func New(clock clockwork.Clock) http.Handler {
	return store.NewHandler(store.New(clock), clock, fault.New(clock))
}
