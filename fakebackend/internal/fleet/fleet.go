// Package fleet runs several fake backend servers in one process, with faults that can be changed while
// they run.
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

// MaxConnections is the largest number of open connections of a server.
const MaxConnections = 240

// Fleet is a set of running backend servers.
type Fleet struct {
	servers     []*Server
	httpServers []*http.Server
	executions  *executionCounter
	done        chan struct{}
}

// Start starts a backend server at the address of each spec. A call takes workTime.
func Start(specs []wire.Server, workTime time.Duration) (*Fleet, error) {
	f := &Fleet{executions: newExecutionCounter(), done: make(chan struct{})}
	for _, spec := range specs {
		l, err := net.Listen("tcp", spec.Address.String())
		if err != nil {
			f.Close()
			return nil, err
		}
		f.serve(spec, workTime, newListener(l, spec.Connections))
	}
	return f, nil
}

func (f *Fleet) serve(spec wire.Server, workTime time.Duration, l *listener) {
	s := newServer(spec, workTime, l, f.executions)
	srv := &http.Server{Handler: s.handler(), ReadHeaderTimeout: time.Minute}
	f.servers, f.httpServers = append(f.servers, s), append(f.httpServers, srv)
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("backend server stopped: %v", err))
		}
	}()
}

// Close stops all servers immediately.
func (f *Fleet) Close() {
	for _, s := range f.httpServers {
		_ = s.Close()
	}
	close(f.done)
}

// Done is closed when all servers have stopped.
func (f *Fleet) Done() <-chan struct{} { return f.done }

// findServers returns the named server, or all servers when the name is empty.
func (f *Fleet) findServers(id ident.ServerID) []*Server {
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

// tally returns the counters summed over the servers. Repeats are counted over the whole fleet.
func (f *Fleet) tally(servers []*Server) wire.Tally {
	all, repeatedUnsafe := f.executions.repeats()
	t := wire.Tally{Repeated: int(all), Doubled: int(repeatedUnsafe)}
	for _, s := range servers {
		peak, violations := s.capacity.counts()
		t.Executed += int(s.calls.Load())
		t.Violations += int(violations)
		t.Peak = max(t.Peak, int(peak))
		t.Connections += int(s.listener.accepted.Load())
		t.Overflow += int(s.listener.overflow.Load())
	}
	return t
}
