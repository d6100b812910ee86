package edge

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/schema/wire"
)

// Finder says where a call would go.
type Finder interface {
	Where(q Query) *wire.Where
}

var _ Finder = (*Handler)(nil)

// WhereHandler serves operators who ask where a call would go now, with the parameters host, path, tenant (the name of an
// organisation), timeout (in milliseconds) and seed (of the draws).
type WhereHandler struct {
	finder Finder
	id     ident.InstanceID
	domain ident.DomainName
}

var _ http.Handler = (*WhereHandler)(nil)

// NewWhereHandler returns a handler for the instance.
func NewWhereHandler(f Finder, id ident.InstanceID, domain ident.DomainName) *WhereHandler {
	return &WhereHandler{finder: f, id: id, domain: domain}
}

// ServeHTTP writes the answer as JSON.
func (h *WhereHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
		return
	}
	q, err := parseQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out := h.finder.Where(q)
	out.ID, out.Domain = string(h.id), string(h.domain)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(out)
}

func parseQuery(v url.Values) (Query, error) {
	q := Query{Host: rules.Host(v.Get("host")), Path: v.Get("path"), Organisation: ident.TenantName(v.Get("tenant")), Seed: previewSeed()}
	if q.Host == "" || !strings.HasPrefix(q.Path, "/") {
		return q, errs.New("parameters host and path are needed, and path begins with /")
	}
	if seed, err := strconv.ParseUint(v.Get("seed"), 10, 64); err == nil {
		q.Seed = seed
	}
	if t := v.Get("timeout"); t != "" {
		ms, err := strconv.ParseInt(t, 10, 32)
		if err != nil || ms <= 0 {
			return q, errs.New("parameter timeout is not a positive number of milliseconds")
		}
		q.Timeout = time.Duration(ms) * time.Millisecond
	}
	return q, nil
}
