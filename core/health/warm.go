package health

import (
	"time"

	"goldcreststand.example/core/ident"
)

// Life names one life of a backend server.
type Life struct {
	Server      ident.ServerID
	Incarnation ident.Incarnation
}

// Question asks the first instance in the placement order of some servers whether they are warm.
type Question struct {
	To    ident.InstanceID
	Lives []Life
}

// Questions returns the questions that are due about servers that another instance warms up.
func (t *Tracker) Questions(now time.Time) []Question {
	var out []Question
	for _, id := range t.ids {
		s := t.servers[id]
		if s.state != StateWarming || s.joined || !s.ranked || s.rank == 0 || now.Sub(s.asked) < askInterval {
			continue
		}
		s.asked = now
		out = ask(out, s.first, Life{Server: id, Incarnation: s.spec.Incarnation})
	}
	return out
}

func ask(qs []Question, to ident.InstanceID, l Life) []Question {
	for i := range qs {
		if qs[i].To == to {
			qs[i].Lives = append(qs[i].Lives, l)
			return qs
		}
	}
	return append(qs, Question{To: to, Lives: []Life{l}})
}

// Warm returns those of the lives that are warm by the recent outcomes of this instance's own calls.
func (t *Tracker) Warm(lives []Life, now time.Time) []Life {
	var out []Life
	for _, l := range lives {
		s, ok := t.servers[l.Server]
		if ok && s.state == StateActive && s.spec.Incarnation == l.Incarnation && now.Sub(s.lastGood) <= warmEvidence {
			out = append(out, l)
		}
	}
	return out
}

// Learn takes a reply to a question: the servers are warm at the instance that warms them up. This
// instance then starts a warm-up of its own with one call in flight; the instances join in one after
// another, because the first one's calls do not prove that the server bears all of them at once.
func (t *Tracker) Learn(lives []Life, now time.Time) {
	for _, l := range lives {
		s, ok := t.servers[l.Server]
		if !ok || s.state != StateWarming || s.joined || !s.ranked || s.spec.Incarnation != l.Incarnation {
			continue
		}
		// A reply to a question from before the last cold start has no weight.
		if s.asked.Before(s.since) || now.Sub(s.asked) > replyTime {
			continue
		}
		s.joined = true
		s.joinAt = now.Add(time.Duration(max(0, s.rank-1)) * joinDelay)
	}
}
