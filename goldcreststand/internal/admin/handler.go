// Package admin serves the status, health and metrics of an instance to operators over HTTP.
package admin

import (
	"cmp"
	"expvar"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/member"
	"goldcreststand.example/core/route"
	"goldcreststand.example/lib/stats"
	"goldcreststand.example/schema/wire"
)

// Control provides the published state of the control loop.
type Control interface {
	// Load returns the newest snapshot.
	Load() *route.Snapshot
	// Members returns the known instances, including this one.
	Members() []member.Record
}

// Metrics provides call counters.
type Metrics interface {
	Rejections() []stats.Rejection
}

// Handler serves the admin HTTP interface.
type Handler struct {
	id      ident.InstanceID
	domain  ident.DomainName
	control Control
	metrics Metrics
}

// New returns the admin HTTP interface.
func New(id ident.InstanceID, domain ident.DomainName, c Control, m Metrics) http.Handler {
	h := &Handler{id: id, domain: domain, control: c, metrics: m}
	e := echo.New()
	e.GET("/status", h.status)
	e.GET("/livez", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", h.ready)
	e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	return e
}

func (h *Handler) status(c echo.Context) error {
	v := wire.View{ID: h.id, Domain: h.domain, State: wire.ViewStateStarting, Tables: []wire.InForce{}, Members: []wire.Member{}, Rejected: []wire.Rejected{}}
	for _, s := range h.control.Load().Services {
		v.Tables = append(v.Tables, serviceStatus(s))
	}
	slices.SortFunc(v.Tables, func(a, b wire.InForce) int { return cmp.Compare(a.Service, b.Service) })
	if len(v.Tables) > 0 {
		v.State = wire.ViewStateReady
	}
	if h.isDraining() {
		v.State = wire.ViewStateDraining
	}
	for _, r := range h.control.Members() {
		v.Members = append(v.Members, wire.FromMember(r))
	}
	for _, r := range h.metrics.Rejections() {
		v.Rejected = append(v.Rejected, wire.Rejected{Service: ident.ServiceName(r.Service), Cause: r.Cause, Calls: int(r.Calls)})
	}
	return c.JSON(http.StatusOK, v)
}

// ready responds with 200 if this instance knows at least one service, waits for slots of none, and is not
// shutting down. A rolling restart that waits for this does not withdraw the slots of several instances at once.
func (h *Handler) ready(c echo.Context) error {
	services := h.control.Load().Services
	notReady := len(services) == 0 || h.isDraining()
	for _, s := range services {
		notReady = notReady || s.AwaitingSlots
	}
	if notReady {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// isDraining reports whether this instance is shutting down. Its membership state is then member.StateLeft.
func (h *Handler) isDraining() bool {
	return slices.ContainsFunc(h.control.Members(), func(r member.Record) bool {
		return r.ID == h.id && r.State == member.StateLeft
	})
}

func serviceStatus(s *route.Service) wire.InForce {
	st := wire.InForce{Service: s.Name, Revision: s.Revision, Serving: s.Local, Servers: len(s.Servers)}
	for _, b := range s.Servers {
		st.Slots += int(b.MaxInflight)
	}
	return st
}
