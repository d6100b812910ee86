package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/lib/header"
	"goldcreststand.example/lib/plat"
	"goldcreststand.example/schema/wire"
)

// registerTimeout is the timeout of the registration at the fake platform.
const registerTimeout = 5 * time.Second

// register adds the servers to the service's server list on the fake platform and replaces those with
// the same ids. Two processes of one service must not register at the same time, because the update is
// not conditional.
func register(ctx context.Context, platform string, service ident.ServiceName, servers []wire.Server) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	list, _, err := plat.New(platform, registerTimeout).ServerList(ctx, service)
	if plat.ErrNotFound.Has(err) {
		list, err = &wire.Listing{Service: service}, nil
	}
	if err != nil {
		return err
	}
	list.Revision++
	list.Servers = slices.DeleteFunc(list.Servers, func(s wire.Server) bool {
		return slices.ContainsFunc(servers, func(x wire.Server) bool { return x.ID == s.ID })
	})
	list.Servers = append(list.Servers, servers...)
	b, err := json.Marshal(list)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, platform+"/control"+plat.ServerListPath(string(service)), bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := header.Checked(http.DefaultClient.Do(req))
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("platform rejected the server list of service %s: %s", service, resp.Status)
	}
	return nil
}
