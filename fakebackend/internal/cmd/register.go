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
	"goldcreststand.example/lib/plat"
	"goldcreststand.example/schema/wire"
)

// registerTimeout bounds a call of the platform's stand-in.
const registerTimeout = 5 * time.Second

// register adds the servers to the platform stand-in's list of the service, in the place of those with
// the same identifiers. Two processes of one service must not register at the same time.
func register(ctx context.Context, platform string, service ident.ServiceName, servers []wire.Server) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	list, _, err := plat.New(platform, registerTimeout).Instances(ctx, service)
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, platform+"/control"+plat.InstancesPath(string(service)), bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("platform refused the servers of %s: %s", service, resp.Status)
	}
	return nil
}
