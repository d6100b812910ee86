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

// pollInterval is the time between two status requests.
const pollInterval = 200 * time.Millisecond

// waitFlags are the flags for waiting until an edit is in force.
type waitFlags struct {
	adminFlags
	wait    bool
	timeout time.Duration
}

func (f *waitFlags) register(fs *flag.FlagSet) {
	f.adminFlags.register(fs)
	fs.BoolVar(&f.wait, "wait", false, "wait until the edit is in force on every instance that serves the service")
	fs.DurationVar(&f.timeout, "timeout", 30*time.Second, "longest time to wait")
}

// waitForRevision waits until the revision is in force on every instance that serves the service. After the
// timeout it returns an error that lists the remaining instances.
func (cfg *Config) waitForRevision(ctx context.Context, f waitFlags, s ident.ServiceName, rev ident.Revision) error {
	if !f.wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var last string
	for {
		results := f.fetchStatuses(ctx)
		count, missing := results.withRevision(s, rev)
		if count > 0 && len(missing) == 0 {
			_, _ = fmt.Fprintf(cfg.Out, "%s: revision %d is in force on %d instances\n", s, rev, count)
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
