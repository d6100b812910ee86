package cmd

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/schema/wire"
)

// statusTimeout bounds the request for one instance's status.
const statusTimeout = time.Second

// fleetFlags says how to reach the instances.
type fleetFlags struct {
	admin string
}

func (f *fleetFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.admin, "admin", "127.0.0.1:8200", "operators' addresses of instances, separated by commas")
}

// answer is what one instance reported, or why it did not.
type answer struct {
	address string
	view    wire.View
	err     error
}

// fleet holds the answers of all instances that were asked.
type fleet []answer

// look asks all instances for their status.
func (f *fleetFlags) look(ctx context.Context) fleet {
	addresses := strings.Split(f.admin, ",")
	out := make(fleet, len(addresses))
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() { out[i] = ask(ctx, a) })
	}
	wg.Wait()
	slices.SortFunc(out, func(a, b answer) int {
		return cmp.Or(cmp.Compare(a.view.ID, b.view.ID), cmp.Compare(a.address, b.address))
	})
	return out
}

// inForce counts the instances that have the revision of the service in force, and describes those that
// serve the service without it or gave no answer.
func (f fleet) inForce(s ident.ServiceName, rev ident.Revision) (have int, missing []string) {
	for _, a := range f {
		if a.err != nil {
			missing = append(missing, fmt.Sprintf("%s (no answer)", a.address))
			continue
		}
		i := slices.IndexFunc(a.view.Tables, func(t wire.InForce) bool { return t.Service == s })
		switch {
		case i >= 0 && a.view.Tables[i].Revision >= rev:
			have++
		case i >= 0 && a.view.Tables[i].Serving:
			missing = append(missing, fmt.Sprintf("%s (revision %d)", a.view.ID, a.view.Tables[i].Revision))
		}
	}
	return have, missing
}

func ask(ctx context.Context, address string) answer {
	a := answer{address: address}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		a.err = err
		return a
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		a.err = fmt.Errorf("status of %s: %s", address, resp.Status)
		return a
	}
	a.err = json.NewDecoder(resp.Body).Decode(&a.view)
	return a
}
