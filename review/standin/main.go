// Command standin runs one case: it starts instances of the deployment as processes, with stand-ins for the platform's store,
// the servers, the requesters and the operator, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// errRun is a reason for which a case could not run.
type errRun struct{ error }

// cases holds the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (bool, error){
	"silent-connections": silentConnections,
	"lost-answer":        lostAnswer,
	"next-order":         nextOrder,
	"large-bodies":       largeBodies,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		os.Exit(2)
	}
	code, err := runCase(cases[os.Args[1]], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
	}
	os.Exit(code)
}

func runCase(run func(d *deployment, trouble bool) (bool, error), root, folder string, trouble bool) (int, error) {
	rec, err := newRecord(folder)
	if err != nil {
		return 2, err
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return 2, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d, err := newDeployment(rec, root, dir)
	if err != nil {
		return 2, err
	}
	defer d.stopAll()
	broken, err := run(d, trouble)
	if os.Getenv("KEEP_LOGS") != "" {
		time.Sleep(500 * time.Millisecond)
		_ = os.CopyFS(os.Getenv("KEEP_LOGS"), os.DirFS(dir))
	}
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return 2, err
	case broken:
		rec.say("RULE BROKEN")
		return 1, nil
	}
	rec.say("the rule held")
	return 0, nil
}
