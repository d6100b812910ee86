package cmd

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"goldcreststand.example/lib/cli"
	"goldcreststand.example/schema/wire"
)

// defaultServers is the number of servers that are printed of each instance.
const defaultServers = 8

type whereFlags struct {
	adminFlags
	outputFlags
	host, path, tenant string
	timeout            time.Duration
	all                bool
	servers            int
}

func newWhereCmd(cfg *Config) *cli.Command {
	var f whereFlags
	return &cli.Command{
		Name:  "where",
		Short: "print where a call would go now and why, without sending it (instances on the users' platform)",
		Flags: func(fs *flag.FlagSet) {
			fs.StringVar(&f.addresses, "admin", "127.0.0.1:8200", "control addresses of instances, separated by commas; the first that answers is asked")
			f.outputFlags.register(fs, "table (default) or json")
			fs.StringVar(&f.host, "host", "", "host of the call")
			fs.StringVar(&f.path, "path", "/", "path of the call")
			fs.StringVar(&f.tenant, "tenant", "", "name of the organisation that sends the call; never its key")
			fs.DurationVar(&f.timeout, "timeout", 0, "timeout of the caller")
			fs.BoolVar(&f.all, "all", false, "ask all addresses, and print the differences")
			fs.IntVar(&f.servers, "servers", defaultServers, "servers to print; 0 for all")
		},
		Run: func(ctx context.Context, args []string) error { return cfg.runWhereCmd(ctx, f, args) },
	}
}

func (cfg *Config) runWhereCmd(ctx context.Context, f whereFlags, args []string) error {
	switch {
	case len(args) > 0:
		return usagef("unexpected argument %q", args[0])
	case f.host == "":
		return usagef("flag -host is missing")
	case !strings.HasPrefix(f.path, "/"):
		return usagef("flag -path: %q does not begin with /", f.path)
	case f.timeout != 0 && f.timeout < time.Millisecond:
		return usagef("flag -timeout: %v is less than a millisecond", f.timeout)
	case f.output != "" && f.output != "table" && f.output != "json":
		return usagef("flag -output: unknown format %q", f.output)
	}
	answers, errs := f.fetch(ctx)
	err := cfg.printAnswers(f, answers)
	if err == nil && len(errs) > 0 && (f.all || len(answers) == 0) {
		err = fmt.Errorf("%d of %d instances did not answer: %w", len(errs), len(answers)+len(errs), errs[0])
	}
	return err
}

// fetch asks all instances, or one after the other until one answers. All draw by the same seed, so that their answers
// differ only by what they know.
func (f *whereFlags) fetch(ctx context.Context) (answers []wire.Where, errs []error) {
	v := url.Values{"host": {f.host}, "path": {f.path}, "seed": {strconv.FormatUint(rand.Uint64(), 10)}}
	if f.tenant != "" {
		v.Set("tenant", f.tenant)
	}
	if f.timeout > 0 {
		v.Set("timeout", strconv.FormatInt(f.timeout.Milliseconds(), 10))
	}
	addresses, target := strings.Split(f.addresses, ","), "/debug/where?"+v.Encode()
	results := make([]wire.Where, len(addresses))
	failures := make([]error, len(addresses))
	var wg sync.WaitGroup
	for i, a := range addresses {
		ask := func() { failures[i] = fetchJSON(ctx, a, target, &results[i]) }
		if f.all {
			wg.Go(ask)
		} else if ask(); failures[i] == nil {
			return results[i : i+1], nil
		}
	}
	wg.Wait()
	for i := range addresses {
		if failures[i] != nil {
			errs = append(errs, failures[i])
		} else {
			answers = append(answers, results[i])
		}
	}
	return answers, errs
}

func (cfg *Config) printAnswers(f whereFlags, answers []wire.Where) error {
	if f.output == "json" {
		return printJSON(cfg.Out, answers)
	}
	if len(answers) == 0 {
		return nil
	}
	if f.all {
		return printDifferences(cfg.Out, answers)
	}
	return printWhere(cfg.Out, &answers[0], f.servers)
}
