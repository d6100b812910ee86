package cmd

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/lib/cli"
)

// waitInterval is the time between two looks at the instances.
const waitInterval = 200 * time.Millisecond

// waitFlags asks the command to wait until its edit is in force.
type waitFlags struct {
	fleetFlags
	wait    bool
	timeout time.Duration
}

func (f *waitFlags) register(fs *flag.FlagSet) {
	f.fleetFlags.register(fs)
	fs.BoolVar(&f.wait, "wait", false, "wait until the edit is in force on every instance that serves the service")
	fs.DurationVar(&f.timeout, "timeout", 30*time.Second, "longest time to wait")
}

// waitInForce waits until every instance that serves the service has the revision in force. When the
// time is over it says which instances do not.
func (cfg *Config) waitInForce(ctx context.Context, f waitFlags, s ident.ServiceName, rev ident.Revision) error {
	if !f.wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	var last string
	for {
		fl := f.look(ctx)
		have, missing := fl.inForce(s, rev)
		if have > 0 && len(missing) == 0 {
			_, _ = fmt.Fprintf(cfg.Out, "%s: revision %d is in force on %d instances\n", s, rev, have)
			return nil
		}
		if line := strings.Join(missing, ", "); line != last && line != "" {
			_, _ = fmt.Fprintf(cfg.Err, "%s: waiting for %s\n", s, line)
			last = line
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return cli.Exit(cli.ExitTimeout, fmt.Errorf("revision %d of %s is accepted but not in force on %s", rev, s, last))
		}
	}
}
