package cmd

import (
	"context"
	"crypto/rand"
	"flag"
	"strings"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/cli"
	"goldcreststand.example/lib/plat"
	"goldcreststand.example/schema/wire"
)

// platformTimeout bounds a call of the platform.
const platformTimeout = 5 * time.Second

// target names a routing table on a platform.
type target struct {
	url     string
	service string
}

func (t *target) register(fs *flag.FlagSet) {
	fs.StringVar(&t.url, "platform", "http://127.0.0.1:7000", "base URL of the platform")
	fs.StringVar(&t.service, "service", "", "name of the service")
}

// read returns the table and its tag. An absent table is an empty one with an empty tag.
func (t *target) read(ctx context.Context) (*table.Table, plat.Tag, error) {
	var name ident.ServiceName
	if err := name.UnmarshalText([]byte(t.service)); err != nil {
		return nil, "", cli.Exit(cli.ExitUsage, err)
	}
	var m wire.Table
	tag, err := plat.New(t.url, platformTimeout).Get(ctx, t.path(), &m)
	if plat.ErrNotFound.Has(err) {
		return &table.Table{Service: name}, "", nil
	}
	if err != nil {
		return nil, "", err
	}
	return m.Core(), tag, nil
}

// write stores the table when it still has the tag.
func (t *target) write(ctx context.Context, tag plat.Tag, tb *table.Table) error {
	_, err := plat.New(t.url, platformTimeout).Put(ctx, t.path(), tag, wire.FromTable(tb))
	if plat.ErrConflict.Has(err) {
		return cli.Exit(cli.ExitConflict, err)
	}
	return err
}

func (t *target) path() string { return plat.ObjectPath("tables", t.service) }

// newEditID returns an identifier that no other edit has.
func newEditID() ident.EditID { return ident.EditID(strings.ToLower(rand.Text())) }
