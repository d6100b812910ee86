package fleet

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/schema/wire"
)

// loadHeader carries the load of a server in its responses, as calls in flight and slots.
const loadHeader = "Load"

// Server is one backend server.
type Server struct {
	spec     wire.Server
	work     time.Duration
	inflight atomic.Int32
}

// NewServer returns the HTTP interface of one backend server.
func NewServer(spec wire.Server, work time.Duration) http.Handler {
	s := &Server{spec: spec, work: work}
	e := echo.New()
	e.GET("/health", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/load", s.load)
	e.Any("/*", s.call)
	return e
}

func (s *Server) load(c echo.Context) error {
	return c.JSON(http.StatusOK, wire.Load{Inflight: ident.Slots(s.inflight.Load()), Slots: s.spec.Slots})
}

// call works on a request and answers with the request's own method and path.
func (s *Server) call(c echo.Context) error {
	n := s.inflight.Add(1)
	defer s.inflight.Add(-1)
	t := time.NewTimer(s.work)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.Request().Context().Done():
		return c.Request().Context().Err()
	}
	c.Response().Header().Set(loadHeader, fmt.Sprintf("%d/%d", n, s.spec.Slots))
	return c.String(http.StatusOK, fmt.Sprintf("%s %s by %s\n", c.Request().Method, c.Request().URL.Path, s.spec.ID))
}
