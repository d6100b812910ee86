package store

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"goldcreststand.example/fakeplatform/internal/fault"
	"goldcreststand.example/schema/wire"
)

// Sizes and times of the HTTP interface.
const (
	// maxValue is the largest value in bytes.
	maxValue = 1 << 20
	// maxWait is the longest wait of a watch.
	maxWait = 60 * time.Second
	// lookInterval is the time between two looks of a watch that reads a replica that lags.
	lookInterval = 50 * time.Millisecond
	// instances is the collection behind the instance list.
	instances = "instances"
)

type handler struct {
	store  *Store
	clock  clockwork.Clock
	faults *fault.Injector
}

// NewHandler returns the HTTP interface of a store: the platform's, and under /control that of tests.
func NewHandler(s *Store, clock clockwork.Clock, faults *fault.Injector) http.Handler {
	h := &handler{store: s, clock: clock, faults: faults}
	e := echo.New()
	e.GET("/objects/:collection", h.list, faults.Middleware)
	e.GET("/objects/:collection/:name", h.get, faults.Middleware)
	e.PUT("/objects/:collection/:name", h.put, faults.Middleware)
	e.GET("/instances/:name", h.getInstances, faults.Middleware)
	e.PUT("/control/instances/:name", h.setInstances)
	e.PUT("/control/faults", h.setFaults)
	e.GET("/control/calls", func(c echo.Context) error { return c.JSON(http.StatusOK, faults.Calls()) })
	return e
}

func (h *handler) setFaults(c echo.Context) error {
	var f wire.PlatformFaults
	if err := json.NewDecoder(c.Request().Body).Decode(&f); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	h.faults.Set(f)
	return c.NoContent(http.StatusNoContent)
}

func (h *handler) get(c echo.Context) error {
	return h.serve(c, Key{Collection: c.Param("collection"), Name: c.Param("name")}, h.faults.Age())
}

func (h *handler) getInstances(c echo.Context) error {
	return h.serve(c, Key{Collection: instances, Name: c.Param("name")}, h.faults.Lag())
}

func (h *handler) serve(c echo.Context, k Key, age time.Duration) error {
	return h.watch(c, age, func() (string, []byte, <-chan struct{}, bool) {
		o, changed, err := h.store.Get(k, age)
		return tagOf(o.Version), o.Value, changed, err == nil
	})
}

func (h *handler) list(c echo.Context) error {
	age := h.faults.Age()
	return h.watch(c, age, func() (string, []byte, <-chan struct{}, bool) {
		names, changed := h.store.Names(c.Param("collection"), age)
		b, err := json.Marshal(map[string][]string{"names": names})
		return fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(b), 16)), b, changed, err == nil
	})
}

// watch answers with the value that read returns, once its tag differs from the If-None-Match
// header or the wait of the Prefer header is over. A write shows after the age of what is read.
func (h *handler) watch(c echo.Context, age time.Duration, read func() (string, []byte, <-chan struct{}, bool)) error {
	old := c.Request().Header.Get("If-None-Match")
	h.faults.Count(func(n *wire.PlatformCalls) { n.Pending++ })
	defer h.faults.Count(func(n *wire.PlatformCalls) { n.Pending-- })
	over := h.clock.After(waitOf(c.Request().Header.Get("Prefer")))
	for {
		// The channel is taken before the check, so that an outage that begins in between is noticed.
		_, faults := h.faults.Outage()
		if err := h.faults.CheckOutage(c); err != nil {
			return err
		}
		tag, value, changed, ok := read()
		if !ok && old == "" {
			return echo.NewHTTPError(http.StatusNotFound)
		}
		if ok && tag != old {
			c.Response().Header().Set("ETag", tag)
			return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, value)
		}
		var look <-chan time.Time
		if age > 0 {
			look = h.clock.After(lookInterval)
		}
		select {
		case <-changed:
		case <-look:
		case <-faults:
		case <-over:
			return c.NoContent(http.StatusNotModified)
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		}
	}
}

func (h *handler) put(c echo.Context) error {
	k := Key{Collection: c.Param("collection"), Name: c.Param("name")}
	expect, err := expected(c.Request().Header)
	if err != nil {
		return echo.NewHTTPError(http.StatusPreconditionRequired, err.Error())
	}
	b, err := readValue(c)
	if err != nil {
		return err
	}
	v, err := h.store.Put(k, expect, b)
	if ErrConflict.Has(err) {
		return echo.NewHTTPError(http.StatusPreconditionFailed, err.Error())
	}
	if err != nil {
		return err
	}
	c.Response().Header().Set("ETag", tagOf(v))
	return c.NoContent(http.StatusNoContent)
}

func (h *handler) setInstances(c echo.Context) error {
	b, err := readValue(c)
	if err != nil {
		return err
	}
	h.store.Set(Key{Collection: instances, Name: c.Param("name")}, b)
	return c.NoContent(http.StatusNoContent)
}

func readValue(c echo.Context) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(c.Request().Body, maxValue+1))
	if err != nil {
		return nil, err
	}
	if len(b) > maxValue {
		return nil, echo.NewHTTPError(http.StatusRequestEntityTooLarge)
	}
	if !json.Valid(b) {
		return nil, echo.NewHTTPError(http.StatusBadRequest, "value is not JSON")
	}
	return b, nil
}

// expected returns the version that the request's condition names.
func expected(h http.Header) (Version, error) {
	if h.Get("If-None-Match") == "*" {
		return Absent, nil
	}
	v, err := strconv.ParseUint(strings.Trim(h.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("If-Match or If-None-Match: * is missing")
	}
	return Version(v), nil
}

func tagOf(v Version) string { return fmt.Sprintf("%q", strconv.FormatUint(uint64(v), 10)) }

func waitOf(prefer string) time.Duration {
	s, ok := strings.CutPrefix(prefer, "wait=")
	n, err := strconv.Atoi(s)
	if !ok || err != nil || n < 0 {
		return 0
	}
	return min(time.Duration(n)*time.Second, maxWait)
}
