package fault

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"goldcreststand.example/schema/wire"
)

// Middleware counts the calls of the platform's HTTP interface and applies the faults to them.
func (i *Injector) Middleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		write := c.Request().Method == http.MethodPut
		i.Count(func(n *wire.PlatformCalls) { countCall(n, c) })
		if !i.Allow(write) {
			i.Count(func(n *wire.PlatformCalls) { n.Limited++ })
			c.Response().Header().Set("Retry-After", "1")
			return echo.NewHTTPError(http.StatusTooManyRequests)
		}
		if d := i.Delay(); d > 0 {
			select {
			case <-i.clock.After(d):
			case <-c.Request().Context().Done():
				return c.Request().Context().Err()
			}
		}
		if err := i.CheckOutage(c); err != nil {
			return err
		}
		if write && i.LoseResponse() {
			return loseResponse(c, next)
		}
		return next(c)
	}
}

// CheckOutage returns an error during an outage. In a silent outage it first waits until the client
// closes its connection.
func (i *Injector) CheckOutage(c echo.Context) error {
	kind, _ := i.Outage()
	switch kind {
	case wire.PlatformFaultsOutageError:
	case wire.PlatformFaultsOutageSilent:
		<-c.Request().Context().Done()
	default:
		return nil
	}
	i.Count(func(n *wire.PlatformCalls) { n.Failed++ })
	return echo.NewHTTPError(http.StatusServiceUnavailable, "outage")
}

// loseResponse handles the call, then closes the connection without a response.
func loseResponse(c echo.Context, next echo.HandlerFunc) error {
	c.Response().Writer = discardWriter{c.Response().Writer}
	_ = next(c)
	panic(http.ErrAbortHandler)
}

// discardWriter discards the response.
type discardWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (discardWriter) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

func countCall(n *wire.PlatformCalls, c echo.Context) {
	switch {
	case c.Request().Method == http.MethodPut:
		n.Puts++
	case c.Request().Header.Get("Prefer") != "":
		n.Watches++
	case c.Path() == "/instances/:name":
		n.Instances++
	case c.Param("name") == "":
		n.Lists++
	default:
		n.Gets++
	}
}
