package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/schema/wire"
)

// Headers of the backend server's contract.
const (
	loadHeader     = "Load"
	executedHeader = "Executed"
	timeoutHeader  = "Request-Timeout"
	// requestHeader names a request, so that its executions can be counted.
	requestHeader = "Request-Id"
)

// Server is one backend server.
type Server struct {
	spec     wire.Server
	work     time.Duration
	capacity *capacity
	executed *executed
	links    *links
	faults   atomic.Pointer[faults]
	calls    atomic.Int64
	// sampled is the load that a lagging report shows.
	sampled atomic.Pointer[sample]
}

// sample is a load at a time.
type sample struct {
	at       time.Time
	inflight ident.Slots
}

// newServer returns a backend server without faults. The executions are counted in x.
func newServer(spec wire.Server, work time.Duration, l *links, x *executed) *Server {
	s := &Server{spec: spec, work: work, capacity: newCapacity(spec.Slots), executed: x, links: l}
	s.faults.Store(new(faults))
	s.sampled.Store(new(sample))
	return s
}

// handler returns the HTTP interface of the server.
func (s *Server) handler() http.Handler {
	e := echo.New()
	e.GET("/health", s.health)
	e.GET("/load", s.load)
	e.Any("/*", s.call)
	return e
}

// set replaces the faults.
func (s *Server) set(m *wire.Faults) {
	if value(m.Cold) {
		s.capacity.cool()
	}
	if value(m.Silent) {
		s.links.silence()
	}
	s.faults.Store(newFaults(m, time.Now()))
}

func (s *Server) health(c echo.Context) error {
	if s.faults.Load().drain {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

func (s *Server) load(c echo.Context) error {
	n, slots := s.reported()
	return c.JSON(http.StatusOK, wire.Load{Inflight: n, Slots: slots})
}

// reported returns the load as the server reports it, which may be wrong or old.
func (s *Server) reported() (inflight, slots ident.Slots) {
	f := s.faults.Load()
	n, slots := s.capacity.load()
	if f.claim != nil {
		return *f.claim, slots
	}
	if f.lag == 0 {
		return n, slots
	}
	now, old := time.Now(), s.sampled.Load()
	if now.Sub(old.at) > f.lag {
		s.sampled.CompareAndSwap(old, &sample{at: now, inflight: n})
	}
	return old.inflight, slots
}

// call works on a request and answers with the request's own method, path and id.
func (s *Server) call(c echo.Context) error {
	f := s.faults.Load()
	if f.drain {
		c.Response().Header().Set("Connection", "close")
	}
	if hit(f.shed) {
		c.Response().Header().Set(executedHeader, "?0")
		return c.NoContent(http.StatusServiceUnavailable)
	}
	n, ok := s.capacity.enter()
	completed := false
	defer func() { s.capacity.leave(completed) }()
	req := c.Request()
	s.calls.Add(1)
	s.executed.add(req)
	work := s.work
	bad := f.bad(time.Now(), n, routeOf(req))
	switch {
	case bad && hit(f.fail):
		return c.NoContent(http.StatusInternalServerError)
	case !ok:
		work *= 10
	case bad && f.slow > 0:
		work = time.Duration(float64(work) * f.slow)
	}
	if hit(f.late) {
		work = timeoutOf(req) + s.work
	}
	if !wait(c, work) {
		return c.Request().Context().Err()
	}
	if !ok {
		return c.NoContent(http.StatusInternalServerError)
	}
	completed = true
	return s.respond(c, f)
}

// respond sends the response, or what a fault makes of it.
func (s *Server) respond(c echo.Context, f *faults) error {
	req := c.Request()
	text := fmt.Sprintf("%s %s %s by %s\n", req.Method, req.URL.Path, req.Header.Get(requestHeader), s.spec.ID)
	switch {
	case hit(f.close):
		panic(http.ErrAbortHandler)
	case hit(f.truncate):
		c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(text)+1))
		_ = c.String(http.StatusOK, text)
		c.Response().Flush()
		panic(http.ErrAbortHandler)
	case hit(f.crossed):
		return s.cross(c, text)
	}
	n, slots := s.reported()
	c.Response().Header().Set(loadHeader, fmt.Sprintf("%d/%d", n, slots))
	return c.String(http.StatusOK, text)
}

// cross keeps the response back and sends it in place of the next one on the connection. A client
// that closes a connection after a call that ran into its deadline never sees it.
func (s *Server) cross(c echo.Context, text string) error {
	nc, next, err := hijack(c.Response())
	if nc != nil {
		defer func() { _ = nc.Close() }()
	}
	if err != nil {
		return nil
	}
	s.executed.add(next)
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	return nil
}

// wait lets the time pass, and reports false when the caller closed its connection before.
func wait(c echo.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.Request().Context().Done():
		return false
	}
}

// hit draws whether a fault with the share strikes.
func hit(s ident.Share) bool { return s > 0 && rand.IntN(int(ident.FullShare)) < int(s) }

func routeOf(r *http.Request) ident.RouteName {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return ident.RouteName(first)
}

// timeoutOf returns the deadline that the request names, or none.
func timeoutOf(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(timeoutHeader))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
