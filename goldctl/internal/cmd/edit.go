package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/cli"
	"goldcreststand.example/lib/plat"
	"goldcreststand.example/schema/wire"
)

// usagef returns an error with the exit code cli.ExitUsage.
func usagef(format string, args ...any) error {
	return cli.Exit(cli.ExitUsage, fmt.Errorf(format, args...))
}

// edit reads, changes and writes the table. After a conflicting edit it starts over, so change may be
// called several times and must be valid for any table.
func (t *target) edit(ctx context.Context, change func(*table.Table) (*table.Table, error)) (*table.Table, error) {
	name, err := t.name()
	if err != nil {
		return nil, err
	}
	out, err := update(ctx, t, t.path(), plat.TableWriteOutcome, func(old *wire.Table) (*wire.Table, error) {
		current := &table.Table{Service: name}
		if old != nil {
			current = old.Core()
		}
		next, err := change(current)
		if err != nil {
			return nil, err
		}
		return wire.FromTable(next), nil
	})
	if err != nil {
		return nil, err
	}
	return out.Core(), nil
}

// update changes a value on the platform with plat.Writer and adds exit codes to its errors.
func update[T any](ctx context.Context, t *target, path string, outcome func(stored, written *T) plat.WriteOutcome, change func(*T) (*T, error)) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	out, err := plat.NewWriter(t.client(), clockwork.NewRealClock(), outcome).Update(ctx, path, change)
	if plat.ErrConflict.Has(err) {
		return nil, cli.Exit(cli.ExitConflict, err)
	}
	return out, withExitCode(err)
}

// conflictError returns an error that lists the changes of the table since the base revision and their authors.
func conflictError(t *table.Table, base ident.Revision) error {
	var b strings.Builder
	fmt.Fprintf(&b, "table of %s was edited since revision %d; it is at revision %d now", t.Service, base, t.Revision)
	for _, r := range t.Rows {
		if r.Changed > base {
			fmt.Fprintf(&b, "\n  revision %d by %s: %s %s is now weight %d, limit %d, %s",
				r.Changed, r.Author, r.Kind, r.Name, r.Weight, r.Limit, r.State)
		}
	}
	for _, r := range t.Removed {
		if r.Revision > base {
			fmt.Fprintf(&b, "\n  revision %d by %s: %s %s is removed", r.Revision, r.Author, r.Kind, r.Name)
		}
	}
	return cli.Exit(cli.ExitConflict, fmt.Errorf("%s", b.String()))
}
