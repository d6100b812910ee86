package usage

import (
	"time"

	"goldcreststand.example/core/ident"
)

// storeReturn is what a reporter knows about returns of the store to an older copy of its content.
type storeReturn struct {
	// era is the latest known era of the store, and returnedAt the time from which it is known, if an earlier one was known.
	era        ident.Era
	returned   bool
	returnedAt time.Duration
	// heldAtReturn reports that this instance had the lease then, so that nobody else can have taken the duty in the lost time.
	heldAtReturn bool
	// acknowledged is the last entry of an earlier era.
	acknowledged Entry
}

// observeEra notes an era of the store. In a later one the store may have lost the write that the lease comes from, so that it is
// confirmed by another write before the next report is sent.
func (r *Reporter) observeEra(e ident.Era, at Time) {
	if e <= r.era {
		return
	}
	r.era = e
	if !r.observed {
		return
	}
	// A holder whose write the store has just rejected after its return has lapsed.
	held := (r.state == StateHolder || r.state == StateLapsed) && at.Boot < r.leaseEnd
	r.returned, r.returnedAt, r.heldAtReturn = true, at.Boot, held
	if r.entry.Stored() >= r.acknowledged.Stored() {
		r.acknowledged = r.entry
	}
	r.revision = 0
	if r.state == StateHolder {
		r.state = StateLapsed
	}
}

// waitsAfterReturn reports whether another instance may have a lease that the store has lost, and that this instance does not know of.
func (r *Reporter) waitsAfterReturn(at Time) bool {
	return r.returned && !r.heldAtReturn && at.Boot < r.returnedAt+r.settings.Lease()+takeoverMargin
}

// restore returns the entry of the store with the reports that it has lost. They do not change, since they may have been sent.
func (r *Reporter) restore(e Entry) Entry {
	stored, lost := e.Stored(), r.acknowledged
	e.Sent = max(e.Sent, lost.Sent)
	for i, report := range lost.Reports {
		if report.Window > stored {
			return e.with(lost.Reports[i:]...)
		}
	}
	return e
}

// outlast returns the standing of a later era, with what the store has lost of this one.
func (s Standing) outlast(later Standing) Standing {
	later.Stored = max(later.Stored, s.Stored)
	if later.Token < s.Token {
		later.Holder, later.Token, later.Lease = s.Holder, s.Token, s.Lease
	}
	return later
}
