package entry

import (
	"net/http"
	"net/netip"

	"github.com/labstack/echo/v4"

	"goldcreststand.example/core/ident"
)

// PlatformAPI defines the paths and bodies of the requests of the platform.
type PlatformAPI interface {
	ReadyPath() string
	LookupPath() string
	// CallerDomain returns the failure domain in the query parameters of a lookup.
	CallerDomain(param func(string) string) ident.DomainName
	// Reply returns the body of the response to a lookup.
	Reply(addresses []netip.AddrPort) any
}

// NewLookupHandler returns the handler for lookups.
func NewLookupHandler(snapshots Snapshots, api PlatformAPI) http.Handler {
	e := echo.New()
	e.GET(api.LookupPath(), func(c echo.Context) error {
		list := InstanceAddresses(snapshots.Load(), api.CallerDomain(c.QueryParam))
		if len(list) == 0 {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.JSON(http.StatusOK, api.Reply(list))
	})
	return e
}

// NewReadyHandler returns the handler for readiness checks.
func NewReadyHandler(snapshots Snapshots, api PlatformAPI) http.Handler {
	e := echo.New()
	e.GET(api.ReadyPath(), func(c echo.Context) error {
		if snap := snapshots.Load(); !snap.Ready || snap.ShuttingDown {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}
