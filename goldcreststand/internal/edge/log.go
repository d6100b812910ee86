package edge

import (
	"net/http"

	"github.com/sirupsen/logrus"
)

// Log logs calls. It must not block.
type Log interface {
	// Success logs a call that returned a response. Under overload these lines are dropped first.
	Success(msg string, fields logrus.Fields)
	// Failure logs a call that failed.
	Failure(msg string, fields logrus.Fields)
}

// recordResponse counts and logs a call whose response is returned.
func (h *Handler) recordResponse(c *call) {
	took := h.clock.Now().Sub(c.arrived)
	if c.final.status >= http.StatusInternalServerError {
		h.metrics.recordCall(c, "failed", causeNone, took)
		f := c.fields()
		f["status"] = c.final.status
		h.log.Failure("returned a server error", f)
		return
	}
	h.metrics.recordCall(c, "ok", causeNone, took)
	if len(c.tries) > 1 {
		f := c.fields()
		f["status"] = c.final.status
		h.log.Failure("returned a response after a retry", f)
		return
	}
	f := logrus.Fields{
		"request": c.id, "config": c.config, "route": c.route.Name, "status": c.final.status, "ms": took.Milliseconds(),
		"server": c.tries[0].server.ID, "version": c.tries[0].server.Version, "cost": slowdownPercent(c.tries[0]),
		"wait": c.tries[0].sent.Sub(c.arrived).Milliseconds(),
	}
	c.auth.addTo(f)
	h.log.Success("returned a response", f)
}

// recordRejection counts and logs a call without a server's response.
func (h *Handler) recordRejection(c *call, r *rejection) {
	took := h.clock.Now().Sub(c.arrived)
	result := "rejected"
	if r.status == 0 {
		result = "gone"
	}
	h.metrics.recordCall(c, result, r.cause, took)
	f := c.fields()
	f["cause"] = r.cause.String()
	f["status"] = r.status
	if r.retryAfter > 0 {
		f["retry"] = r.retryAfter.Milliseconds()
	}
	if c.admission.byDeadline {
		f["queued"] = c.admission.queue.length()
	}
	if r.err != nil {
		f["error"] = r.err.Error()
	}
	h.log.Failure("call ended without a response", f)
}

// fields returns the log fields of the call and its tries.
func (c *call) fields() logrus.Fields {
	f := logrus.Fields{
		"request": c.id, "config": c.config, "service": c.service, "ms": c.h.clock.Now().Sub(c.arrived).Milliseconds(),
	}
	if c.route != nil {
		f["route"], f["kind"] = c.route.Name, c.route.Kind.String()
		f["limit"] = c.deadline.Sub(c.arrived).Milliseconds()
	}
	c.auth.addTo(f)
	c.crossing.addTo(f)
	tries := make([]logrus.Fields, 0, len(c.tries))
	for _, t := range c.tries {
		fields := t.fields()
		if t.server != nil {
			fields["wait"] = t.sent.Sub(c.arrived).Milliseconds()
		}
		tries = append(tries, fields)
	}
	f["tries"] = tries
	return f
}

// fields returns the log fields of the try, with the load report by which its server was picked.
func (t *try) fields() logrus.Fields {
	if t.server == nil {
		return logrus.Fields{"result": "noserver"}
	}
	f := logrus.Fields{
		"server": t.server.ID, "version": t.server.Version, "domain": t.server.Domain, "result": t.result.String(),
		"ms": t.took.Milliseconds(), "running": t.load.Running, "waiting": t.load.Waiting,
		"slots": t.load.Slots, "slowness": t.load.Slowness, "cold": t.load.ColdFor.Milliseconds(), "cost": slowdownPercent(t),
	}
	if t.hedge {
		f["hedge"] = true
	}
	if t.err != nil {
		f["error"] = t.err.Error()
	}
	if t.resp != nil {
		f["status"] = t.resp.status
	}
	return f
}

// slowdownPercent returns the expected duration of a call at the server, in percent of that at an idle server at full
// speed.
func slowdownPercent(t *try) int { return int(100 * t.load.Slowdown()) }
