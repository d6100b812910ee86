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

// Headers that backend servers and goldcreststand exchange.
const (
	loadHeader     = "Load"
	executedHeader = "Executed"
	timeoutHeader  = "Request-Timeout"
	leavingHeader  = "Leaving"
	// requestIDHeader identifies a request, to count its executions.
	requestIDHeader = "Request-Id"
)

// Server is one fake backend server.
type Server struct {
	spec       wire.Server
	workTime   time.Duration
	capacity   *capacity
	executions *executionCounter
	listener   *listener
	faults     atomic.Pointer[faults]
	calls      atomic.Int64
	// lastSample is the load that the server reports while its report lags.
	lastSample atomic.Pointer[loadSample]
}

// loadSample is the load of a server at one time.
type loadSample struct {
	at       time.Time
	inflight ident.Slots
}

// newServer returns a backend server without faults. It counts executions in the given counter.
func newServer(spec wire.Server, workTime time.Duration, l *listener, executions *executionCounter) *Server {
	s := &Server{spec: spec, workTime: workTime, capacity: newCapacity(spec.Slots), executions: executions, listener: l}
	s.faults.Store(new(faults))
	s.lastSample.Store(new(loadSample))
	return s
}

// handler returns the HTTP interface of the server.
func (s *Server) handler() http.Handler {
	e := echo.New()
	e.Use(s.announceLeaving)
	e.GET("/health", s.health)
	e.GET("/load", s.load)
	e.Any("/*", s.handleCall)
	return e
}

// announceLeaving adds to each response that the server is leaving, while it is.
func (s *Server) announceLeaving(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.faults.Load().leaving {
			c.Response().Header().Set(leavingHeader, "?1")
		}
		return next(c)
	}
}

// setFaults replaces the faults.
func (s *Server) setFaults(m *wire.Faults) {
	if valueOrZero(m.Cold) {
		s.capacity.makeCold()
	}
	if valueOrZero(m.Silent) {
		s.listener.silence()
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
	n, slots := s.reportedLoad()
	return c.JSON(http.StatusOK, wire.Load{Inflight: n, Slots: slots})
}

// reportedLoad returns the load that the server reports, which faults can make wrong or stale.
func (s *Server) reportedLoad() (inflight, slots ident.Slots) {
	f := s.faults.Load()
	n, slots := s.capacity.load()
	if f.claim != nil {
		return *f.claim, slots
	}
	if f.lag == 0 {
		return n, slots
	}
	now, old := time.Now(), s.lastSample.Load()
	if now.Sub(old.at) > f.lag {
		s.lastSample.CompareAndSwap(old, &loadSample{at: now, inflight: n})
	}
	return old.inflight, slots
}

// handleCall handles a request. The response contains the method, path and id of the request, which lets
// callers detect a response to another request.
func (s *Server) handleCall(c echo.Context) error {
	f := s.faults.Load()
	if f.drain {
		c.Response().Header().Set("Connection", "close")
	}
	if faultOccurs(f.shed) {
		c.Response().Header().Set(executedHeader, "?0")
		if f.pause > 0 {
			c.Response().Header().Set(echo.HeaderRetryAfter, strconv.FormatFloat(f.pause.Seconds(), 'f', 3, 64))
		}
		return c.NoContent(http.StatusServiceUnavailable)
	}
	n, ok := s.capacity.acquire()
	completed := false
	defer func() { s.capacity.release(completed) }()
	req := c.Request()
	s.calls.Add(1)
	s.executions.add(req)
	workTime := s.workTime
	degraded := f.appliesTo(time.Now(), n, routeOf(req))
	switch {
	case degraded && faultOccurs(f.fail):
		return c.NoContent(http.StatusInternalServerError)
	case !ok:
		workTime *= 10
	case degraded && f.slow > 0:
		workTime = time.Duration(float64(workTime) * f.slow)
	}
	if faultOccurs(f.late) {
		workTime = timeoutOf(req) + s.workTime
	}
	if !wait(c, workTime) {
		return c.Request().Context().Err()
	}
	if !ok {
		return c.NoContent(http.StatusInternalServerError)
	}
	completed = true
	return s.respond(c, f)
}

// respond sends the response, changed by the faults that occur.
func (s *Server) respond(c echo.Context, f *faults) error {
	req := c.Request()
	text := fmt.Sprintf("%s %s %s by %s\n", req.Method, req.URL.Path, req.Header.Get(requestIDHeader), s.spec.ID)
	switch {
	case faultOccurs(f.close):
		panic(http.ErrAbortHandler)
	case faultOccurs(f.truncate):
		c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(text)+1))
		_ = c.String(http.StatusOK, text)
		c.Response().Flush()
		panic(http.ErrAbortHandler)
	case faultOccurs(f.crossed):
		return s.respondCrossed(c, text)
	}
	n, slots := s.reportedLoad()
	c.Response().Header().Set(loadHeader, fmt.Sprintf("%d/%d", n, slots))
	return c.String(http.StatusOK, text)
}

// respondCrossed holds the response back and sends it as the response to the next request on the
// connection. A client that closes its connections after a timeout never receives it.
func (s *Server) respondCrossed(c echo.Context, text string) error {
	nc, next, err := hijack(c.Response())
	if nc != nil {
		defer func() { _ = nc.Close() }()
	}
	if err != nil {
		return nil
	}
	s.executions.add(next)
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	return nil
}

// wait waits for the duration. It returns false if the client closes its connection before.
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

// faultOccurs draws whether a fault that affects the share s of the calls occurs in this call.
func faultOccurs(s ident.Share) bool { return s > 0 && rand.IntN(int(ident.FullShare)) < int(s) }

// routeOf returns the first element of the path, which names the route.
func routeOf(r *http.Request) ident.RouteName {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return ident.RouteName(first)
}

// timeoutOf returns the timeout in the request's header, or 0 if there is none.
func timeoutOf(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(timeoutHeader))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
