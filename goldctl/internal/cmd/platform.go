package cmd

import (
	"context"
	"crypto/rand"
	"flag"
	"os"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/cli"
	"goldcreststand.example/lib/plat"
	"goldcreststand.example/lib/sheet"
	"goldcreststand.example/schema/wire"
)

// platformTimeout is the timeout of one platform call.
const platformTimeout = 5 * time.Second

// writeTimeout is the timeout of a write, including retries.
const writeTimeout = 20 * time.Second

// collectionTables is the platform's collection of routing tables.
const collectionTables = "tables"

// platformFlags are the flags for reaching the platform.
type platformFlags struct {
	url string
}

func (f *platformFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.url, "platform", "http://127.0.0.1:7000", "base URL of the platform")
}

func (f *platformFlags) client() *plat.Client { return plat.New(f.url, platformTimeout) }

// target identifies a routing table on the platform.
type target struct {
	platformFlags
	service string
}

func (t *target) register(fs *flag.FlagSet) {
	t.platformFlags.register(fs)
	fs.StringVar(&t.service, "service", "", "name of the service")
}

// name returns the validated name of the service.
func (t *target) name() (ident.ServiceName, error) {
	var n ident.ServiceName
	if err := n.UnmarshalText([]byte(t.service)); err != nil {
		return "", cli.Exit(cli.ExitUsage, err)
	}
	return n, nil
}

// read returns the table and its tag. If the table does not exist, it returns an empty table and an empty tag.
func (t *target) read(ctx context.Context) (*table.Table, plat.Tag, error) {
	name, err := t.name()
	if err != nil {
		return nil, "", err
	}
	var m wire.Table
	tag, err := t.client().Get(ctx, t.path(), &m)
	if plat.ErrNotFound.Has(err) {
		return &table.Table{Service: name}, "", nil
	}
	if err != nil {
		return nil, "", err
	}
	return m.Core(), tag, nil
}

// write stores the table if it still has the tag. If the response is lost, it finds out whether the write
// took effect.
func (t *target) write(ctx context.Context, tag plat.Tag, tb *table.Table) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	w := plat.NewWriter(t.client(), clockwork.NewRealClock(), plat.TableWriteOutcome)
	return withExitCode(w.Write(ctx, t.path(), tag, wire.FromTable(tb)))
}

// withExitCode adds cli.ExitTimeout to the error of a write with unknown outcome. Other errors are returned unchanged.
func withExitCode(err error) error {
	if plat.ErrUnknownOutcome.Has(err) {
		return cli.Exit(cli.ExitTimeout, err)
	}
	return err
}

func (t *target) path() string { return plat.ObjectPath(collectionTables, t.service) }

// services returns the names of all services that have a routing table.
func (f *platformFlags) services(ctx context.Context) ([]string, error) {
	names, _, err := f.client().List(ctx, collectionTables)
	return names, err
}

// authorFlags are the flags that name the operator.
type authorFlags struct {
	author string
}

func (f *authorFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.author, "author", os.Getenv("USER"), "operator who makes the edit")
}

// check returns an error if the operator is not set.
func (f *authorFlags) check() error {
	if f.author == "" {
		return usagef("flag -author is missing")
	}
	return nil
}

// readSheet reads and validates the sheet of the named service.
func readSheet(file string, name ident.ServiceName) (*sheet.Sheet, error) {
	in, err := os.Open(file)
	if err != nil {
		return nil, cli.Exit(cli.ExitUsage, err)
	}
	defer func() { _ = in.Close() }()
	s, err := sheet.Read(file, name, in)
	return s, cli.Exit(cli.ExitUsage, err)
}

// newEditID returns a new unique edit identifier.
func newEditID() ident.EditID { return ident.EditID(strings.ToLower(rand.Text())) }
