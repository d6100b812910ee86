package edge

import (
	"net/http"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"goldcreststand.example/core/access"
	"goldcreststand.example/core/rules"
)

// Errors of calls without a valid key. They never contain the key.
var (
	errNoKey      = errs.New("request has no key")
	errUnknownKey = errs.New("key belongs to no organisation")
	errKeyRevoked = errs.New("key is no longer valid")
)

// authorization is what is known of the sender of a call.
type authorization struct {
	// key is the key that the caller presented, or empty.
	key    access.Key
	caller access.Caller
	// config is the configuration by which the key was last checked.
	config *rules.Config
	// revoked reports that the key lost its validity while the call waited.
	revoked bool
}

// addTo adds the name of the sender's organisation to the fields of a log line.
func (a *authorization) addTo(f logrus.Fields) {
	if a.caller.Name != "" {
		f["organisation"] = a.caller.Name
	}
}

// authorize finds the organisation that sends the call, or rejects the call.
func (c *call) authorize(cfg *rules.Config, w http.ResponseWriter) *rejection {
	c.auth.key, c.auth.config = c.h.dialect.Key(c.r.Header), cfg
	var admitted bool
	if c.auth.caller, admitted = cfg.Access.Admit(c.auth.key, c.route.Public); admitted {
		return nil
	}
	rej := &rejection{status: http.StatusUnauthorized, cause: causeUnauthorized, err: errUnknownKey}
	if c.auth.key == "" {
		rej.err = errNoKey
	}
	if c.r.ContentLength != 0 {
		// The response does not wait for the body. What arrives of it until the deadline is discarded, so that the caller
		// can read the response, and the connection ends, since the rest would be taken for the next request. Calls that were
		// read behind a body that has arrived are answered before.
		announceEnd(w)
		_ = http.NewResponseController(w).SetReadDeadline(c.arrived.Add(writeGrace))
	}
	return rej
}

// reauthorize checks the key again if there is a newer configuration than that of the last check, and reports whether the
// call may be sent.
func (c *call) reauthorize() bool {
	cfg := c.h.snapshots.Load().Config
	if cfg == nil || cfg == c.auth.config {
		return true
	}
	r := findRoute(cfg, c.r)
	if r == nil {
		r = c.route
	}
	caller, admitted := cfg.Access.Admit(c.auth.key, r.Public)
	if admitted {
		c.auth.caller, c.auth.config = caller, cfg
	}
	c.auth.revoked = !admitted
	return admitted
}

// rank returns the priority of the call among others.
func (c *call) rank() rules.Rank {
	return rules.Rank{Organisation: c.auth.caller.Priority, Route: c.route.Priority}
}

// urgent reports whether the call goes before the least urgent calls to its service.
func (c *call) urgent() bool {
	lowest := rules.Rank{Organisation: c.auth.config.Access.Lowest(), Route: c.svc.LowestPriority}
	return c.rank().Compare(lowest) < 0
}
