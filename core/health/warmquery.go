package health

import (
	"time"

	"goldcreststand.example/core/ident"
)

// ServerIncarnation identifies one run of a backend server between two restarts.
type ServerIncarnation struct {
	Server      ident.ServerID
	Incarnation ident.Incarnation
}

// WarmQuery asks the owner of some servers whether they are warm.
type WarmQuery struct {
	To      ident.InstanceID
	Servers []ServerIncarnation
}

// DueWarmQueries returns the queries that are due about servers that another instance warms up.
func (t *Tracker) DueWarmQueries(now time.Time) []WarmQuery {
	var out []WarmQuery
	for _, id := range t.ids {
		s := t.servers[id]
		if s.state != StateWarming || s.confirmedWarm || !s.hasSlots || s.rank == 0 || now.Sub(s.queriedAt) < warmQueryInterval {
			continue
		}
		s.queriedAt = now
		out = addToQuery(out, s.owner, ServerIncarnation{Server: id, Incarnation: s.spec.Incarnation})
	}
	return out
}

func addToQuery(qs []WarmQuery, to ident.InstanceID, inc ServerIncarnation) []WarmQuery {
	for i := range qs {
		if qs[i].To == to {
			qs[i].Servers = append(qs[i].Servers, inc)
			return qs
		}
	}
	return append(qs, WarmQuery{To: to, Servers: []ServerIncarnation{inc}})
}

// FilterWarm returns those of the servers that are warm by recent outcomes of this instance's own
// calls.
func (t *Tracker) FilterWarm(servers []ServerIncarnation, now time.Time) []ServerIncarnation {
	var out []ServerIncarnation
	for _, inc := range servers {
		s, ok := t.servers[inc.Server]
		if ok && s.state == StateActive && s.spec.Incarnation == inc.Incarnation && now.Sub(s.lastSuccess) <= warmEvidenceTime {
			out = append(out, inc)
		}
	}
	return out
}

// HandleWarmReply processes the owner's reply to a query, which names the servers that are warm. This
// instance then starts its own warm-up with one call in flight. The instances start one after another,
// because the calls of the owner do not show that the server can take the calls of all instances at
// once.
func (t *Tracker) HandleWarmReply(warm []ServerIncarnation, now time.Time) {
	for _, inc := range warm {
		s, ok := t.servers[inc.Server]
		if !ok || s.state != StateWarming || s.confirmedWarm || !s.hasSlots || s.spec.Incarnation != inc.Incarnation {
			continue
		}
		// A reply to a query from before the last restart of the warm-up is ignored.
		if s.queriedAt.Before(s.since) || now.Sub(s.queriedAt) > warmReplyTimeout {
			continue
		}
		s.confirmedWarm = true
		s.joinAt = now.Add(time.Duration(max(0, s.rank-1)) * joinDelay)
	}
}
