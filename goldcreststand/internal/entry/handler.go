package entry

import (
	"net/http"
	"net/netip"

	"github.com/labstack/echo/v4"

	"goldcreststand.example/core/ident"
)

// Pages knows the paths and bodies of the platform's questions.
type Pages interface {
	ReadyPath() string
	LookupPath() string
	// CallerDomain returns the failure domain of the caller that asks.
	CallerDomain(param func(string) string) ident.DomainName
	// Reply returns the body of a reply to a lookup.
	Reply(addresses []netip.AddrPort) any
}

// NewLookup returns the handler for lookups.
func NewLookup(v Views, p Pages) http.Handler {
	e := echo.New()
	e.GET(p.LookupPath(), func(c echo.Context) error {
		list := Addresses(v.Load(), p.CallerDomain(c.QueryParam))
		if len(list) == 0 {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.JSON(http.StatusOK, p.Reply(list))
	})
	return e
}

// NewReady returns the handler for readiness checks.
func NewReady(v Views, p Pages) http.Handler {
	e := echo.New()
	e.GET(p.ReadyPath(), func(c echo.Context) error {
		if view := v.Load(); !view.Ready || view.ShuttingDown {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}
