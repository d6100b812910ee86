package hub

import (
	"maps"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/ident"
)

const (
	// awayDelay is the time without a reply of the store after which others are asked.
	awayDelay = 200 * time.Millisecond
	// contactInterval is the time between two questions to instances that may not be members.
	contactInterval = 500 * time.Millisecond
	// maxAge bounds the age that an instance reports, which is unlimited until it is up to date for the first time.
	maxAge = time.Minute
)

type (
	// Watch asks to follow these kinds in the store, and no others.
	Watch struct{ Kinds map[Kind]bool }

	// Follow asks an instance for what it knows at a newer revision, and to post Followed.
	Follow struct {
		To    netip.AddrPort
		Known map[Kind]ident.Revision
		// Wait is the time for which the other instance may wait for news, Timeout that after which it has failed.
		Wait, Timeout time.Duration
	}
)

func (Watch) action()  {}
func (Follow) action() {}

// Followed says how a question to another instance ended, and what it told. News holds also when the rest of a reply
// could not be read.
type Followed struct {
	From netip.AddrPort
	Err  error
	Freshness
	News []Event
}

var _ Event = Followed{}

// Freshness says how up to date an instance is with the store.
type Freshness struct {
	// Age is the time since the instance was up to date.
	Age time.Duration
	// Grace is the time for which servers that are missing may still come back, because the store was away.
	Grace time.Duration
}

func (e Followed) apply(st *state) []Action {
	st.asking = false
	st.sourceEnded(e)
	if until := st.now.Add(e.Grace); e.Grace > 0 && until.After(st.grace) {
		st.grace = until
	}
	var out []Action
	for _, ev := range e.News {
		out = append(out, ev.apply(st)...)
	}
	return append(out, st.follow()...)
}

// sourceEnded notes whether the source replied.
func (st *state) sourceEnded(e Followed) {
	if e.Err == nil {
		st.sub.HandleReply(e.From, e.Age, st.now)
		if st.unreached == e.From {
			st.unreached = netip.AddrPort{}
			st.belief("source replies again", logrus.Fields{"source": e.From.String(), "age": e.Age.Milliseconds()})
		}
		if len(e.News) > 0 {
			st.belief("received news from a source", logrus.Fields{
				"source": e.From.String(), "kinds": len(e.News), "age": e.Age.Milliseconds(), "grace": e.Grace.Milliseconds(),
			})
		}
		return
	}
	st.sub.HandleFailure(e.From, st.now)
	if st.unreached != e.From {
		st.unreached = e.From
		st.belief("source does not reply", logrus.Fields{"source": e.From.String(), "error": e.Err.Error()})
	}
}

// follow decides which kinds this instance follows in the store, and whom it asks for the others.
func (st *state) follow() []Action {
	var out []Action
	watches := st.sub.WatchesStore(st.now)
	kinds := make(map[Kind]bool)
	for _, k := range KindValues() {
		// The list of members says who watches the store.
		if watches || k == KindMembers && !st.loaded[k] {
			kinds[k] = true
		}
	}
	if !maps.Equal(kinds, st.watched) {
		st.belief("following the store", logrus.Fields{
			"kinds": len(kinds), "of": len(KindValues()), "age": st.freshness().Age.Milliseconds(), "members": len(st.members),
		})
		st.watched = kinds
		for k := range st.lost {
			if !kinds[k] {
				delete(st.lost, k)
			}
		}
		out = append(out, Watch{Kinds: kinds})
	}
	if st.asking || !st.sub.PollsPeers() && !st.away() {
		return out
	}
	if to, ok := st.source(); ok {
		st.asking = true
		known := make(map[Kind]ident.Revision)
		for _, k := range KindValues() {
			known[k] = st.known[k]
		}
		wait, timeout := st.sub.PollTimes()
		out = append(out, Follow{To: to, Known: known, Wait: wait, Timeout: timeout})
	}
	return out
}

// away reports whether this instance has had no reply of the store about some kind for a while.
func (st *state) away() bool {
	for _, k := range KindValues() {
		since, lost := st.lost[k]
		if !lost && !st.loaded[k] {
			since, lost = st.started, true
		}
		if lost && st.now.Sub(since) >= awayDelay {
			return true
		}
	}
	return false
}

// source returns the instance to ask next. While no member is known these are the one that pinged this instance last,
// and those of the settings.
func (st *state) source() (netip.AddrPort, bool) {
	if len(st.members) > 0 {
		return st.sub.NextSource(st.now)
	}
	if st.now.Sub(st.started) < awayDelay || st.now.Sub(st.contacted) < contactInterval {
		return netip.AddrPort{}, false
	}
	contacts := st.self.Contacts
	if st.met.IsValid() {
		contacts = append([]netip.AddrPort{st.met}, contacts...)
	}
	if len(contacts) == 0 {
		return netip.AddrPort{}, false
	}
	st.contacted = st.now
	st.turn++
	return contacts[st.turn%len(contacts)], true
}

// age returns the time since this instance was up to date with the store.
func (st *state) age() time.Duration {
	at := st.sub.UpToDate()
	if own, ok := st.watchedUntil(); ok && own.After(at) {
		at = own
	}
	return st.now.Sub(at)
}

// watchedUntil returns the time until which this instance's own watches of all kinds were up to date.
func (st *state) watchedUntil() (time.Time, bool) {
	at := st.now
	for _, k := range KindValues() {
		if !st.watched[k] || !st.loaded[k] {
			return at, false
		}
		if since, lost := st.lost[k]; lost && since.Before(at) {
			at = since
		}
	}
	return at, true
}

// freshness returns what this instance reports to those that ask it.
func (st *state) freshness() Freshness {
	return Freshness{Age: min(st.age(), maxAge), Grace: max(0, st.grace.Sub(st.now))}
}
