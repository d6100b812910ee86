package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"goldcreststand.example/schema/wire"
)

// directory keeps the addresses of the instances that serve the service, for as long as the lookup
// response allows.
type directory struct {
	hc   *http.Client
	plan *Plan

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

// get returns the addresses; it looks them up when the last response has expired. When no instance
// answers, the old addresses stay in use.
func (d *directory) get(ctx context.Context) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.until) {
		return d.addresses, nil
	}
	var last error
	for _, a := range d.plan.Instances {
		e, err := d.ask(ctx, a)
		if err != nil {
			last = err
			continue
		}
		d.addresses = d.addresses[:0:0]
		for _, x := range e.Addresses {
			d.addresses = append(d.addresses, x.String())
		}
		d.until = time.Now().Add(time.Duration(e.Lifetime) * time.Second)
		return d.addresses, nil
	}
	if len(d.addresses) > 0 {
		d.until = time.Now().Add(time.Second)
		return d.addresses, nil
	}
	return nil, Error.Wrap(last)
}

// expire makes the next get look the addresses up.
func (d *directory) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.until = time.Time{}
}

func (d *directory) ask(ctx context.Context, address string) (*wire.Entries, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	u := "http://" + address + "/.well-known/goldcreststand/entries?service=" + url.QueryEscape(string(d.plan.Service))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.hc.Do(req)
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
