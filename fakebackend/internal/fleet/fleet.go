// Package fleet runs many backend servers in one process.
package fleet

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"goldcreststand.example/schema/wire"
)

// MaxConnections is the number of connections that a server holds.
const MaxConnections = 240

// Fleet is a set of running backend servers.
type Fleet struct {
	servers []*http.Server
	done    chan struct{}
}

// Start listens on the address of each server. Each call takes the work time.
func Start(servers []wire.Server, work time.Duration) (*Fleet, error) {
	f := &Fleet{done: make(chan struct{})}
	for _, s := range servers {
		l, err := net.Listen("tcp", s.Address.String())
		if err != nil {
			f.Close()
			return nil, err
		}
		srv := &http.Server{Handler: NewServer(s, work), ReadHeaderTimeout: time.Minute}
		f.servers = append(f.servers, srv)
		go func() {
			if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				panic(fmt.Sprintf("backend server ended: %v", err))
			}
		}()
	}
	return f, nil
}

// Close stops all servers at once.
func (f *Fleet) Close() {
	for _, s := range f.servers {
		_ = s.Close()
	}
	close(f.done)
}

// Done is closed when all servers have stopped.
func (f *Fleet) Done() <-chan struct{} { return f.done }
