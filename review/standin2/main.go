// Command standin2 has the stand-ins of the second review: the platform's store, servers and requesters. It starts the system's own
// processes with the command of the deploy file, and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	cases := map[string]func(dir string, rec *record, trouble bool) int{"mixed": mixed, "crowd": crowd, "behind": behind}
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	check(err)
	defer os.RemoveAll(dir)
	rec := newRecord(path)
	defer rec.f.Close()
	n := f(dir, rec, os.Getenv("TROUBLE") != "0")
	switch {
	case n < 0:
		rec.sum("the case could not run")
		return 2
	case n > 0:
		return 1
	default:
		return 0
	}
}
