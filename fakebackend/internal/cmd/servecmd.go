package cmd

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/fakebackend/internal/fleet"
	"goldcreststand.example/lib/cli"
	"goldcreststand.example/schema/wire"
)

type serveFlags struct {
	service  string
	version  string
	domains  string
	base     string
	platform string
	control  string
	count    int
	slots    int
	workTime time.Duration
}

func newServeCmd(cfg *Config) *cli.Command {
	var f serveFlags
	return &cli.Command{
		Name:  "serve",
		Short: "serve as the backend servers of one service until SIGINT or SIGTERM",
		Flags: func(fs *flag.FlagSet) {
			fs.StringVar(&f.service, "service", "inventory", "name of the service")
			fs.StringVar(&f.version, "version", "v1", "version of the service")
			fs.StringVar(&f.domains, "domains", "d1,d2,d3,d4", "failure domains, used in turn")
			fs.StringVar(&f.base, "base", "127.0.0.1:9100", "address of the first server; the others use the ports after it")
			fs.StringVar(&f.platform, "platform", "http://127.0.0.1:7000", "base URL of the platform")
			fs.StringVar(&f.control, "control", "", "address of the HTTP interface that sets faults and reads counters; not served when empty")
			fs.IntVar(&f.count, "count", 18, "number of servers")
			fs.IntVar(&f.slots, "slots", 4, "calls that a server handles at a time")
			fs.DurationVar(&f.workTime, "work", 5*time.Millisecond, "time that a server takes for a call")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runServeCmd(ctx, f) },
	}
}

func (cfg *Config) runServeCmd(ctx context.Context, f serveFlags) error {
	servers, err := f.servers()
	if err != nil {
		return cli.Exit(cli.ExitUsage, err)
	}
	fl, err := fleet.Start(servers, f.workTime)
	if err != nil {
		return err
	}
	defer fl.Close()
	if f.control != "" {
		control, err := net.Listen("tcp", f.control)
		if err != nil {
			return err
		}
		defer func() { _ = control.Close() }()
		go func() { _ = http.Serve(control, fl.Control()) }()
	}
	if err := register(ctx, f.platform, ident.ServiceName(f.service), servers); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(cfg.Out, "fakebackend: serving %d servers of service %s, the first at %s\n", f.count, f.service, f.base)
	<-ctx.Done()
	return nil
}

func (f *serveFlags) servers() ([]wire.Server, error) {
	base, err := netip.ParseAddrPort(f.base)
	if err != nil {
		return nil, err
	}
	domains := strings.Split(f.domains, ",")
	out := make([]wire.Server, f.count)
	for i := range out {
		out[i] = wire.Server{
			ID:          ident.ServerID(fmt.Sprintf("%s-%s-%d", f.service, f.version, i)),
			Address:     netip.AddrPortFrom(base.Addr(), base.Port()+uint16(i)),
			Domain:      ident.DomainName(domains[i%len(domains)]),
			Version:     ident.VersionName(f.version),
			Slots:       ident.Slots(f.slots),
			Connections: fleet.MaxConnections,
			Incarnation: 1,
		}
	}
	return out, nil
}
