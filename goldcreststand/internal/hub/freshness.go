package hub

import (
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/relay"
	"goldcreststand.example/core/store"
)

const (
	// maxReportedAge limits the ages that an instance reports.
	maxReportedAge = time.Minute
	// outOfDateAge is the age from which on it is logged that the copy of the store is out of date.
	outOfDateAge = time.Second
)

// CheckStore asks the adapter to check whether the store replies to this instance, and to post StoreChecked.
type CheckStore struct{ At time.Time }

func (CheckStore) action() {}

type (
	// StoreChecked reports the result of the check that was requested at the given time, and the era that the store replied with.
	StoreChecked struct {
		At  time.Time
		Era ident.Era
		Err error
	}

	// WatchInterrupted reports that a watch ended without a reply. What it would have reported is unknown until the objects are
	// listed again.
	WatchInterrupted struct{ Kind Kind }
)

var (
	_ Event = StoreChecked{}
	_ Event = WatchInterrupted{}
)

// Freshness describes how up to date an instance's copy of the store is.
type Freshness struct {
	// Copy holds the ages of the copy, at most maxReportedAge.
	relay.Copy
	// Silent is the time since the store last replied to the instance itself, or since it started.
	Silent time.Duration
	// Era is the latest known era of the store.
	Era ident.Era
	// Grace is the remaining time for which servers missing from the list are kept after an outage of the store.
	Grace time.Duration
}

// freshness returns the freshness of this instance's copy, as it reports it to others.
func (st *state) freshness() Freshness {
	age := func(at time.Time) time.Duration { return min(st.now.Sub(at), maxReportedAge) }
	silent := st.now.Sub(st.started)
	if !st.repliedAt.IsZero() {
		silent = st.now.Sub(st.repliedAt)
	}
	return Freshness{
		Copy: relay.Copy{Age: age(st.subscription.UpToDate()), Watched: age(st.subscription.Watched())}, Silent: silent,
		Era: st.era, Grace: max(0, st.graceUntil.Sub(st.now)),
	}
}

func (e StoreChecked) apply(st *state) []Action {
	age := st.freshness().Age
	interrupted := st.subscription.HandleCheck(e.At, e.Err == nil, st.now)
	if e.Err == nil {
		st.repliedAt = st.now
		st.observeEra(e.Era)
	}
	watches := st.subscription.WatchesStore(st.now)
	// The count of failed checks also ends when the copy is up to date again, without a reply.
	if lost := st.subscription.Lost(); lost != st.storeLost && lost == (e.Err != nil) {
		st.storeLost = lost
		st.logContact(e.Err)
		// An instance that does not watch may check long after the store's return, and learns from its sources for how long to
		// keep servers.
		if !lost && watches {
			st.keepExpired(age)
		}
	}
	st.relist = st.relist || interrupted
	return st.chooseSources()
}

// logContact logs that the store no longer replies to checks, or does so again.
func (st *state) logContact(err error) {
	fields := logrus.Fields{"age": st.freshness().Age.Milliseconds(), "silent": st.freshness().Silent.Milliseconds()}
	if !st.storeLost {
		st.logChange("store replies to checks again", fields)
		return
	}
	fields["error"] = err.Error()
	st.logChange("store does not reply to checks", fields)
}

func (e WatchInterrupted) apply(st *state) []Action {
	st.uncover(e.Kind)
	return nil
}

// recordUpdate records that the store has replied about a kind, unless the update came from another instance. A reply of an earlier
// era than the known one does not make the copy up to date.
func (st *state) recordUpdate(k Kind, at store.Position) {
	st.observeEra(at.Era)
	if st.importing() || at.Era < st.era {
		return
	}
	st.repliedAt = st.now
	if st.watched[k] {
		st.covered[k] = true
	}
	st.subscription.HandleStoreReply(st.now)
	st.subscription.SetCovered(len(st.covered) == len(KindValues()))
}

// observeEra notes an era of the store. A later one than the known era means that the store has returned to an older copy of its
// content: the copy of each kind is out of date until that kind is read in the later era.
func (st *state) observeEra(e ident.Era) {
	if e <= st.era {
		return
	}
	if len(st.loaded) > 0 {
		st.logChange("store returned to an older copy", logrus.Fields{"era": e, "before": st.era, "source": st.source()})
		st.relist = true
	}
	st.era = e
	clear(st.covered)
	st.subscription.SetCovered(false)
}

// uncover records that no watch covers the kind.
func (st *state) uncover(k Kind) {
	delete(st.covered, k)
	st.subscription.SetCovered(false)
}

// logAge logs that the copy of the store becomes out of date, or is up to date again.
func (st *state) logAge() {
	f := st.freshness()
	outOfDate := st.ready() && f.Age >= outOfDateAge
	if outOfDate == st.outOfDate {
		return
	}
	st.outOfDate = outOfDate
	msg := "copy of the store is up to date again"
	if outOfDate {
		msg = "copy of the store is out of date"
	}
	st.logChange(msg, logrus.Fields{
		"age": f.Age.Milliseconds(), "watched": f.Watched.Milliseconds(), "silent": f.Silent.Milliseconds(), "kinds": len(st.watched),
	})
}
