package fault

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"goldcreststand.example/schema/wire"
)

// Middleware applies the faults to the calls of the platform's interface.
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
		if write && i.Lose() {
			return lose(c, next)
		}
		return next(c)
	}
}

// CheckOutage returns an error during an outage. In a silent outage it waits until the caller gives up.
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

// lose carries the call out and breaks the connection in place of the response.
func lose(c echo.Context, next echo.HandlerFunc) error {
	c.Response().Writer = discard{c.Response().Writer}
	_ = next(c)
	panic(http.ErrAbortHandler)
}

// discard drops the response.
type discard struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (discard) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (discard) Write(b []byte) (int, error) { return len(b), nil }

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
