package cmd

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/lib/header"
	"goldcreststand.example/schema/wire"
)

// statusTimeout is the timeout of a request to one instance.
const statusTimeout = time.Second

// maxStatusBytes limits the size of a response that is read.
const maxStatusBytes = 4 << 20

// maxErrorText limits the part of an error response that is printed.
const maxErrorText = 200

// adminFlags are the flags for reaching the instances.
type adminFlags struct {
	addresses string
}

func (f *adminFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.addresses, "admin", "127.0.0.1:8200", "admin addresses of instances, separated by commas")
}

// statusResult is the status of one instance, or the error of the request.
type statusResult struct {
	address string
	status  wire.View
	err     error
}

// statusResults holds the results of all instances.
type statusResults []statusResult

// fetchStatuses requests the status of all instances concurrently.
func (f *adminFlags) fetchStatuses(ctx context.Context) statusResults {
	addresses := strings.Split(f.addresses, ",")
	out := make(statusResults, len(addresses))
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() { out[i] = fetchStatus(ctx, a) })
	}
	wg.Wait()
	slices.SortFunc(out, func(a, b statusResult) int {
		return cmp.Or(cmp.Compare(a.status.ID, b.status.ID), cmp.Compare(a.address, b.address))
	})
	return out
}

// withRevision counts the instances that have the revision of the service in force. It also describes the
// instances that serve the service without it or did not respond.
func (rs statusResults) withRevision(s ident.ServiceName, rev ident.Revision) (count int, missing []string) {
	for _, r := range rs {
		if r.err != nil {
			missing = append(missing, fmt.Sprintf("%s (no response)", r.address))
			continue
		}
		i := slices.IndexFunc(r.status.Tables, func(t wire.InForce) bool { return t.Service == s })
		switch {
		case i >= 0 && r.status.Tables[i].Revision >= rev:
			count++
		case i >= 0 && r.status.Tables[i].Serving:
			missing = append(missing, fmt.Sprintf("%s (revision %d)", r.status.ID, r.status.Tables[i].Revision))
		}
	}
	return count, missing
}

func fetchStatus(ctx context.Context, address string) statusResult {
	r := statusResult{address: address}
	r.err = fetchJSON(ctx, address, "/status", &r.status)
	return r
}

// fetchJSON decodes what the instance at the address returns for the target.
func fetchJSON(ctx context.Context, address, target string, to any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+target, nil)
	if err != nil {
		return err
	}
	resp, err := header.Checked(http.DefaultClient.Do(req))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body := io.LimitReader(resp.Body, maxStatusBytes)
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(body, maxErrorText))
		return fmt.Errorf("status of %s: %s: %s", address, resp.Status, strings.TrimSpace(string(text)))
	}
	return json.NewDecoder(body).Decode(to)
}
