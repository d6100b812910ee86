package fleet

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/schema/wire"
)

// Control returns the HTTP interface that sets faults and reads counters, for one server or for all:
// PUT /faults, PUT /faults/<server>, GET /tally, GET /tally/<server>, and GET /executed/<request id>.
func (f *Fleet) Control() http.Handler {
	e := echo.New()
	e.PUT("/faults", f.putFaults)
	e.PUT("/faults/:server", f.putFaults)
	e.GET("/tally", f.getTally)
	e.GET("/tally/:server", f.getTally)
	e.GET("/executed/:id", func(c echo.Context) error {
		return c.JSON(http.StatusOK, f.executions.count(c.Param("id")))
	})
	return e
}

func (f *Fleet) putFaults(c echo.Context) error {
	m := new(wire.Faults)
	if err := c.Bind(m); err != nil {
		return err
	}
	servers := f.findServers(ident.ServerID(c.Param("server")))
	if len(servers) == 0 {
		return echo.NewHTTPError(http.StatusNotFound, "unknown server")
	}
	for _, s := range servers {
		s.setFaults(m)
	}
	return c.NoContent(http.StatusNoContent)
}

func (f *Fleet) getTally(c echo.Context) error {
	servers := f.findServers(ident.ServerID(c.Param("server")))
	if len(servers) == 0 {
		return echo.NewHTTPError(http.StatusNotFound, "unknown server")
	}
	return c.JSON(http.StatusOK, f.tally(servers))
}
