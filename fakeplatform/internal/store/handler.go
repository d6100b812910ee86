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

// Limits and intervals of the HTTP interface.
const (
	// maxValueBytes is the largest size of a value.
	maxValueBytes = 1 << 20
	// maxWait is the longest wait of a watch.
	maxWait = 60 * time.Second
	// replicaPollInterval is the poll interval of a watch on a lagging replica or server list, where the
	// change channel of the store fires before the change is visible.
	replicaPollInterval = 50 * time.Millisecond
	// serverListCollection is the collection that holds the server lists.
	serverListCollection = "instances"
)

type handler struct {
	store  *Store
	clock  clockwork.Clock
	faults *fault.Injector
}

// NewHandler returns the HTTP interface of a store: that of the platform, and under /control the calls
// with which tests set server lists and faults and read the call counters.
func NewHandler(s *Store, clock clockwork.Clock, faults *fault.Injector) http.Handler {
	h := &handler{store: s, clock: clock, faults: faults}
	e := echo.New()
	e.GET("/objects/:collection", h.list, faults.Middleware)
	e.GET("/objects/:collection/:name", h.get, faults.Middleware)
	e.PUT("/objects/:collection/:name", h.put, faults.Middleware)
	e.GET("/instances/:name", h.getServerList, faults.Middleware)
	e.PUT("/control/instances/:name", h.setServerList)
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
	return h.serveObject(c, Key{Collection: c.Param("collection"), Name: c.Param("name")}, h.faults.ReplicaLag())
}

func (h *handler) getServerList(c echo.Context) error {
	return h.serveObject(c, Key{Collection: serverListCollection, Name: c.Param("name")}, h.faults.ServerListLag())
}

func (h *handler) serveObject(c echo.Context, k Key, lag time.Duration) error {
	return h.watch(c, lag, func() (string, []byte, <-chan struct{}, bool) {
		o, changed, err := h.store.Get(k, lag)
		return entityTag(o.Version), o.Value, changed, err == nil
	})
}

func (h *handler) list(c echo.Context) error {
	lag := h.faults.ReplicaLag()
	return h.watch(c, lag, func() (string, []byte, <-chan struct{}, bool) {
		names, changed := h.store.Names(c.Param("collection"), lag)
		b, err := json.Marshal(map[string][]string{"names": names})
		return fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(b), 16)), b, changed, err == nil
	})
}

// watch responds with the value that read returns as soon as its entity tag differs from the
// If-None-Match header, or with 304 when the wait of the Prefer header is over. Writes become visible
// after the lag.
func (h *handler) watch(c echo.Context, lag time.Duration, read func() (string, []byte, <-chan struct{}, bool)) error {
	oldTag := c.Request().Header.Get("If-None-Match")
	h.faults.Count(func(n *wire.PlatformCalls) { n.Pending++ })
	defer h.faults.Count(func(n *wire.PlatformCalls) { n.Pending-- })
	timeout := h.clock.After(preferredWait(c.Request().Header.Get("Prefer")))
	for {
		// Taking the channel before the check avoids missing an outage that begins in between.
		_, faultsChanged := h.faults.Outage()
		if err := h.faults.CheckOutage(c); err != nil {
			return err
		}
		tag, value, changed, ok := read()
		if !ok && oldTag == "" {
			return echo.NewHTTPError(http.StatusNotFound)
		}
		if ok && tag != oldTag {
			c.Response().Header().Set("ETag", tag)
			return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, value)
		}
		var poll <-chan time.Time
		if lag > 0 {
			poll = h.clock.After(replicaPollInterval)
		}
		select {
		case <-changed:
		case <-poll:
		case <-faultsChanged:
		case <-timeout:
			return c.NoContent(http.StatusNotModified)
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		}
	}
}

func (h *handler) put(c echo.Context) error {
	k := Key{Collection: c.Param("collection"), Name: c.Param("name")}
	expect, err := expectedVersion(c.Request().Header)
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
	c.Response().Header().Set("ETag", entityTag(v))
	return c.NoContent(http.StatusNoContent)
}

func (h *handler) setServerList(c echo.Context) error {
	b, err := readValue(c)
	if err != nil {
		return err
	}
	h.store.Set(Key{Collection: serverListCollection, Name: c.Param("name")}, b)
	return c.NoContent(http.StatusNoContent)
}

func readValue(c echo.Context) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(c.Request().Body, maxValueBytes+1))
	if err != nil {
		return nil, err
	}
	if len(b) > maxValueBytes {
		return nil, echo.NewHTTPError(http.StatusRequestEntityTooLarge)
	}
	if !json.Valid(b) {
		return nil, echo.NewHTTPError(http.StatusBadRequest, "value is not JSON")
	}
	return b, nil
}

// expectedVersion returns the version that the If-Match or If-None-Match header requires.
func expectedVersion(h http.Header) (Version, error) {
	if h.Get("If-None-Match") == "*" {
		return Absent, nil
	}
	v, err := strconv.ParseUint(strings.Trim(h.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("If-Match or If-None-Match: * is missing")
	}
	return Version(v), nil
}

func entityTag(v Version) string { return fmt.Sprintf("%q", strconv.FormatUint(uint64(v), 10)) }

// preferredWait returns the wait of a Prefer header, at most maxWait, or 0 if there is none.
func preferredWait(prefer string) time.Duration {
	s, ok := strings.CutPrefix(prefer, "wait=")
	n, err := strconv.Atoi(s)
	if !ok || err != nil || n < 0 {
		return 0
	}
	return min(time.Duration(n)*time.Second, maxWait)
}
