// Package fleet runs many backend servers in one process. Their faults are set while they run.
package fleet

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/schema/wire"
)

// MaxConnections is the number of connections that a server holds.
const MaxConnections = 240

// Fleet is a set of running backend servers.
type Fleet struct {
	servers  []*Server
	https    []*http.Server
	executed *executed
	done     chan struct{}
}

// Start listens on the address of each server. Each call takes the work time.
func Start(specs []wire.Server, work time.Duration) (*Fleet, error) {
	f := &Fleet{executed: newExecuted(), done: make(chan struct{})}
	for _, spec := range specs {
		l, err := net.Listen("tcp", spec.Address.String())
		if err != nil {
			f.Close()
			return nil, err
		}
		f.serve(spec, work, newLinks(l, spec.Connections))
	}
	return f, nil
}

func (f *Fleet) serve(spec wire.Server, work time.Duration, l *links) {
	s := newServer(spec, work, l, f.executed)
	srv := &http.Server{Handler: s.handler(), ReadHeaderTimeout: time.Minute}
	f.servers, f.https = append(f.servers, s), append(f.https, srv)
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("backend server ended: %v", err))
		}
	}()
}

// Close stops all servers at once.
func (f *Fleet) Close() {
	for _, s := range f.https {
		_ = s.Close()
	}
	close(f.done)
}

// Done is closed when all servers have stopped.
func (f *Fleet) Done() <-chan struct{} { return f.done }

// find returns the named server, or all servers when the name is empty.
func (f *Fleet) find(id ident.ServerID) []*Server {
	if id == "" {
		return f.servers
	}
	for _, s := range f.servers {
		if s.spec.ID == id {
			return []*Server{s}
		}
	}
	return nil
}

// tally sums the counts of the servers.
func (f *Fleet) tally(servers []*Server) wire.Tally {
	all, doubled := f.executed.repeats()
	t := wire.Tally{Repeated: int(all), Doubled: int(doubled)}
	for _, s := range servers {
		peak, exceeded := s.capacity.counts()
		t.Executed += int(s.calls.Load())
		t.Violations += int(exceeded)
		t.Peak = max(t.Peak, int(peak))
		t.Connections += int(s.links.accepted.Load())
		t.Overflow += int(s.links.overflow.Load())
	}
	return t
}
