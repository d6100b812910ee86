package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"goldcreststand.example/lib/header"
	"goldcreststand.example/schema/wire"
)

// resolver looks up the addresses of the instances that serve the service, and caches them for the lifetime
// in the lookup response.
type resolver struct {
	hc   *http.Client
	plan *Plan

	mu         sync.Mutex
	addresses  []string
	validUntil time.Time
}

// resolve returns the addresses. It looks them up again when the cached ones have expired, and returns the
// cached ones for another second if no lookup succeeds.
func (r *resolver) resolve(ctx context.Context) ([]string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.validUntil) {
		return r.addresses, nil
	}
	var lookupErr error
	for _, a := range r.plan.Instances {
		entries, err := r.lookUp(ctx, a)
		if err != nil {
			lookupErr = err
			continue
		}
		r.addresses = r.addresses[:0:0]
		for _, x := range entries.Addresses {
			r.addresses = append(r.addresses, x.String())
		}
		r.validUntil = time.Now().Add(time.Duration(entries.Lifetime) * time.Second)
		return r.addresses, nil
	}
	if len(r.addresses) > 0 {
		r.validUntil = time.Now().Add(time.Second)
		return r.addresses, nil
	}
	return nil, Error.Wrap(lookupErr)
}

// expire makes the next resolve look up the addresses again.
func (r *resolver) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.validUntil = time.Time{}
}

func (r *resolver) lookUp(ctx context.Context, address string) (*wire.Entries, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	u := "http://" + address + "/.well-known/goldcreststand/entries?service=" + url.QueryEscape(string(r.plan.Service))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, err
	}
	resp, err := header.Checked(r.hc.Do(req))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, Error.New("lookup at %s: %s", address, resp.Status)
	}
	e := new(wire.Entries)
	if err := json.NewDecoder(resp.Body).Decode(e); err != nil {
		return nil, err
	}
	if len(e.Addresses) == 0 {
		return nil, Error.New("lookup at %s: no instance serves the service", address)
	}
	return e, nil
}
