package cmd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// readHeaderTimeout bounds the time for reading a request's headers.
const readHeaderTimeout = 10 * time.Second

// listener is one HTTP server with its name in logs.
type listener struct {
	name string
	srv  *http.Server
}

// newListener returns a listener that has not started.
func newListener(name, address string, h http.Handler) *listener {
	return &listener{name: name, srv: &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: readHeaderTimeout}}
}

type infoLog interface {
	Infof(format string, args ...any)
}

// serveAll serves until the context ends or a listener fails. At the end of the context it waits for calls in
// flight, at most for the drain time.
func serveAll(ctx context.Context, ls []*listener, drain time.Duration, log infoLog) error {
	failed := make(chan error, len(ls))
	for _, l := range ls {
		sock, err := net.Listen("tcp", l.srv.Addr)
		if err != nil {
			return errs.Combine(err, closeAll(ls))
		}
		log.Infof("%s listens on %s", l.name, sock.Addr())
		go func() { failed <- l.srv.Serve(sock) }()
	}
	select {
	case err := <-failed:
		return errs.Combine(err, closeAll(ls))
	case <-ctx.Done():
	}
	log.Infof("draining calls in flight")
	return shutdown(ls, drain)
}

func shutdown(ls []*listener, drain time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	var group errs.Group
	for _, l := range ls {
		err := l.srv.Shutdown(ctx)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		group.Add(err)
	}
	return group.Err()
}

func closeAll(ls []*listener) error {
	var group errs.Group
	for _, l := range ls {
		group.Add(l.srv.Close())
	}
	return group.Err()
}
