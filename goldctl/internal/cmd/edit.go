package cmd

import (
	"context"
	"fmt"
	"strings"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/cli"
	"goldcreststand.example/lib/plat"
)

// maxTries bounds the tries of an edit of single rows that meets edits by others.
const maxTries = 10

// usagef returns an error that ends the program with cli.ExitUsage.
func usagef(format string, args ...any) error {
	return cli.Exit(cli.ExitUsage, fmt.Errorf(format, args...))
}

// edit reads the table, changes it and writes it. When another edit comes in between, it starts over,
// so change must stand for an intention that holds whatever the others edited.
func (t *target) edit(ctx context.Context, change func(*table.Table) (*table.Table, error)) (*table.Table, error) {
	var err error
	for range maxTries {
		var old, next *table.Table
		var tag plat.Tag
		if old, tag, err = t.read(ctx); err != nil {
			return nil, err
		}
		if next, err = change(old); err != nil {
			return nil, err
		}
		if err = t.write(ctx, tag, next); err == nil {
			return next, nil
		}
		if !plat.ErrConflict.Has(err) {
			return nil, err
		}
	}
	return nil, cli.Exit(cli.ExitConflict, err)
}

// conflict describes who changed which rows after the base revision.
func conflict(t *table.Table, base ident.Revision) error {
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
