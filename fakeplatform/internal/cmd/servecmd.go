package cmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/fakeplatform/server"
	"goldcreststand.example/lib/cli"
)

type serveFlags struct {
	listen string
}

func newServeCmd(cfg *Config) *cli.Command {
	var f serveFlags
	return &cli.Command{
		Name:  "serve",
		Short: "serve until SIGINT or SIGTERM",
		Flags: func(fs *flag.FlagSet) {
			fs.StringVar(&f.listen, "listen", "127.0.0.1:7000", "address to listen on")
		},
		Run: func(ctx context.Context, _ []string) error { return cfg.runServeCmd(ctx, f) },
	}
}

func (cfg *Config) runServeCmd(ctx context.Context, f serveFlags) error {
	l, err := net.Listen("tcp", f.listen)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(cfg.Out, "fakeplatform: listening on %s\n", l.Addr())
	srv := &http.Server{Handler: server.New(clockwork.NewRealClock()), ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
