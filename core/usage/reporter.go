package usage

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/store"
)

const (
	// sendMargin is the time before the end of the lease at which the last report must be complete.
	sendMargin = 300 * time.Millisecond
	// minSendTime is the remaining time of the lease below which no report is begun.
	minSendTime = 200 * time.Millisecond
	// renewBefore is the remaining time of the lease at which it is renewed although no window is due.
	renewBefore = 2500 * time.Millisecond
	// urgentTime is the time before a report is due at which it is stored although counts may be missing.
	urgentTime = 1500 * time.Millisecond
	// straggleTime is the time for which a report waits for an instance that has not sent its counts since the window ended. It
	// is short, since a successor of a holder that dies after the write must still be in time with the next window.
	straggleTime = 2 * time.Second
	// messageTime is the time that a message and the difference of two clocks may take.
	messageTime = 300 * time.Millisecond
	// joinTime is the time after the start within which the list of members may be incomplete, so that too many instances
	// would take themselves for candidates.
	joinTime = 2 * time.Second
	// silenceTime is the time after which a holder that has sent nothing is taken for dead.
	silenceTime = 1500 * time.Millisecond
	// handoverTime is the time after which a holder that is no candidate hands the duty over, since it may be an instance that
	// the counts of all others burden too much.
	handoverTime = 20 * time.Second
	// rankDelay is the time by which a candidate claims later than the one before it.
	rankDelay = 700 * time.Millisecond
	// minBackoff and maxBackoff limit the time between two calls after a failed one, maxFollowerBackoff that of an instance
	// which has not held the duty.
	minBackoff         = 250 * time.Millisecond
	maxBackoff         = 2 * time.Second
	maxFollowerBackoff = 5 * time.Second
	// maxRefusals is the number of refusals for its content after which a report is given up. It would delay the later ones.
	maxRefusals = 3
)

// write is a write of the entry without a result yet.
type write struct {
	entry Entry
	began time.Duration
	// era is the latest known era of the store at that time.
	era ident.Era
}

// Reporter is the state machine of one instance that takes part in the duty of reporting usage. It decides when the instance
// claims the duty, stores reports, sends them and stops. It is not safe for concurrent use.
//
// The lease counts from the time at which the sending of a write begins, and a successor waits for longer than that after it
// first knew of the revision on whose condition it claims. A write of the former holder that is executed late changes the
// revision, so that either the claim fails or that write does.
type Reporter struct {
	self     ident.InstanceID
	settings Settings
	ledger   *Ledger
	state    State
	rank     int
	alone    bool
	leaving  bool
	// started is the time of the first tick.
	started *Time

	// standing is the latest knowledge of the duty, and changedAt the time from which it is known. absent reports that the
	// entry was removed since, or never existed.
	standing  Standing
	changedAt time.Duration
	observed  bool
	absent    bool
	// holderHeardAt is the time of the last message from the holder, and checked is set once the entry was read after it.
	holderHeardAt time.Duration
	checked       bool

	// entry is the last content of the store that this instance read or wrote, and revision its revision in the present era, or 0 if
	// it must be read before the next write.
	entry    Entry
	revision ident.Revision
	reading  bool
	pending  *write
	leaseEnd time.Duration
	store    backoff
	// rejections counts the rejected writes since a newer revision was known.
	rejections int
	// storeReturn is what this instance knows about returns of the store to an older copy.
	storeReturn
	// outrankedAt is the last time at which this instance was a candidate or did not have the duty.
	outrankedAt time.Duration

	// sent is the last window that was accepted or given up.
	sent     Window
	sending  bool
	lastSend time.Duration
	failedAt time.Duration
	refusals int
	api      backoff
}

// NewReporter returns a reporter that takes the counts of reports from the ledger.
func NewReporter(self ident.InstanceID, s Settings, l *Ledger) *Reporter {
	return &Reporter{self: self, settings: s, ledger: l, rank: -1}
}

// State returns the relation of this instance to the duty.
func (r *Reporter) State() State { return r.state }

// Standing returns what this instance knows of the duty.
func (r *Reporter) Standing() Standing { return r.standing }

// Handle applies the event and returns the actions to carry out.
func (r *Reporter) Handle(ev Event) []Action {
	switch e := ev.(type) {
	case Tick:
		return r.tick(e)
	case EntryRead:
		return r.handleRead(e)
	case ReadFailed:
		r.reading = false
		r.failStore(e.At)
	case EntryWritten:
		return r.handleWritten(e)
	case WriteRejected:
		return r.handleRejected(e)
	case WriteUnanswered:
		r.handleUnanswered(e)
	case ReportAnswered:
		r.handleAnswer(e)
		return r.nextReport(e.At)
	case StandingHeard:
		r.handleStanding(e)
	case Leave:
		r.leave()
	}
	return nil
}

func (r *Reporter) tick(e Tick) []Action {
	r.observeEra(e.Era, e.At)
	r.rank, r.alone = e.Rank, e.Alone
	if r.started == nil {
		// An earlier process of this instance may have sent a report just before.
		r.started, r.lastSend = &e.At, e.At.Boot
	}
	r.expire(e.At)
	if r.state != StateHolder || r.rank >= 0 {
		r.outrankedAt = e.At.Boot
	}
	return append(r.storeAction(e.At), r.nextReport(e.At)...)
}

// expire ends the lease when its time is over.
func (r *Reporter) expire(at Time) {
	if r.state == StateHolder && at.Boot >= r.leaseEnd {
		r.state = StateLapsed
	}
}

// storeAction returns the next call to the store, if one is due.
func (r *Reporter) storeAction(at Time) []Action {
	if r.reading || r.pending != nil || !r.store.due(at.Boot) {
		return nil
	}
	switch r.state {
	case StateFollower:
		if r.mayClaim() && r.readDue(at) {
			r.checked = true
			return r.read()
		}
	case StateClaimant, StateLapsed:
		if !r.leaving {
			return r.read()
		}
	case StateHolder:
		return r.hold(at)
	case StateLeft:
	}
	return nil
}

// mayClaim reports whether this instance is a candidate, or held the duty before its restart.
func (r *Reporter) mayClaim() bool {
	return !r.leaving && !r.sending && (r.rank >= 0 || r.observed && r.standing.Holder == r.self && r.standing.Lease > 0)
}

// readDue reports whether a follower reads the entry: when it knows nothing of the duty, before it claims, and once when the
// holder turns silent, because it may have written the entry just before.
func (r *Reporter) readDue(at Time) bool {
	if !r.observed {
		return at.Boot >= r.started.Boot+joinTime
	}
	silent := r.rank == 0 && r.holderHeardAt > 0 && !r.checked && at.Boot >= r.holderHeardAt+silenceTime
	return silent || r.claimDue(at)
}

// claimDue reports whether the lease of the known holder has surely ended.
func (r *Reporter) claimDue(at Time) bool {
	if r.waitsAfterReturn(at) {
		return false
	}
	if r.standing.Holder == r.self && (!r.absent || r.heldAtReturn) {
		return true
	}
	if at.Boot < r.lastSend+r.settings.ReclaimDelay {
		return false
	}
	wait := time.Duration(max(0, r.rank)) * rankDelay
	if r.standing.Lease > 0 {
		wait += r.standing.Lease + takeoverMargin
	}
	return at.Boot >= r.changedAt+wait
}

// hold writes the entry when a window is due, or when the lease would end.
func (r *Reporter) hold(at Time) []Action {
	if r.revision == 0 {
		return r.read()
	}
	if r.leaving || at.Boot >= r.outrankedAt+handoverTime {
		if out := r.release(at); out != nil || r.leaving {
			return out
		}
	}
	due := r.dueReports(at)
	if len(due) == 0 && r.leaseEnd-at.Boot > renewBefore {
		return nil
	}
	return r.write(at, r.entry.with(due...), r.settings.Lease())
}

// release gives the duty up, so that a successor does not wait for the end of the lease. A report without an answer may still
// arrive, and must arrive before those of the successor.
func (r *Reporter) release(at Time) []Action {
	if r.sending || r.failedAt > 0 && at.Boot < r.failedAt+r.settings.ReclaimDelay {
		return nil
	}
	out := r.write(at, r.entry.with(r.dueReports(at)...), 0)
	r.state = StateFollower
	if r.leaving {
		r.state = StateLeft
	}
	return out
}

func (r *Reporter) leave() {
	r.leaving = true
	if r.state != StateHolder {
		r.state = StateLeft
	}
}

func (r *Reporter) read() []Action {
	r.reading = true
	return []Action{ReadEntry{}}
}

// write writes the entry in this instance's name on condition of the known revision.
func (r *Reporter) write(at Time, e Entry, lease time.Duration) []Action {
	e.Holder, e.Lease, e.Sent = r.self, lease, max(e.Sent, r.sent)
	r.pending = &write{entry: e, began: at.Boot, era: r.era}
	return []Action{WriteEntry{Entry: e, Condition: r.revision}}
}

// claim takes the duty on condition that nobody has written the entry since it was read.
func (r *Reporter) claim(at Time) []Action {
	if !r.mayClaim() || !r.claimDue(at) {
		return nil
	}
	e := r.entry
	e.Token = max(e.Token, r.standing.Token) + 1
	r.state = StateClaimant
	return r.write(at, e.with(r.dueReports(at)...), r.settings.Lease())
}

func (r *Reporter) handleRead(e EntryRead) []Action {
	r.reading = false
	r.observeEra(e.Position.Era, e.At)
	if e.Position.Era < r.era {
		// A late reply shows what the store has lost.
		r.failStore(e.At)
		return nil
	}
	if r.rejections <= 1 {
		r.store.reset()
	}
	if r.state == StateLeft {
		if !e.Absent {
			r.observe(standingOf(&e.Entry, e.Position), e.At)
		}
		return nil
	}
	r.expire(e.At)
	r.entry, r.revision = r.restore(e.Entry), e.Position.Revision
	if e.Absent {
		r.revision, r.state = 0, StateFollower
		r.observeAbsence(e.At)
		return r.claim(e.At)
	}
	r.observe(standingOf(&e.Entry, e.Position), e.At)
	r.sent = max(r.sent, e.Entry.Sent)
	switch {
	case e.Entry.Holder != r.self || r.standing.Holder != r.self || r.waitsAfterReturn(e.At):
		r.state = StateFollower
		return r.claim(e.At)
	case r.state == StateHolder:
		return r.hold(e.At)
	case r.leaving || e.Entry.Lease == 0 && r.rank < 0:
		r.state = StateFollower
		return nil
	default:
		// Nobody else can have written the entry since this instance did, so that the token stays the same.
		r.state, r.entry.Token = StateLapsed, max(r.entry.Token, r.standing.Token)
		return r.write(e.At, r.entry.with(r.dueReports(e.At)...), r.settings.Lease())
	}
}

func standingOf(e *Entry, p store.Position) Standing {
	return Standing{Holder: e.Holder, Token: e.Token, Lease: e.Lease, Position: p, Stored: e.Stored()}
}

// observe records newer knowledge of the duty and reports whether it is newer.
func (r *Reporter) observe(s Standing, at Time) bool {
	if r.observed && !r.standing.Position.Before(s.Position) {
		return false
	}
	if r.observed && r.standing.Position.Era < s.Position.Era {
		s = r.standing.outlast(s)
	}
	r.standing, r.changedAt, r.observed, r.absent = s, at.Boot, true, false
	r.rejections = 0
	r.ledger.Forget(s.Stored)
	return true
}

func (r *Reporter) observeAbsence(at Time) {
	if !r.absent {
		r.changedAt, r.observed, r.absent = at.Boot, true, true
	}
}

func (r *Reporter) handleWritten(e EntryWritten) []Action {
	w := r.pending
	r.observeEra(e.Position.Era, e.At)
	if w != nil && (w.era != r.era || e.Position.Era != r.era) {
		// The store has lost the write, or has executed it on condition of a revision that was given out again.
		return r.handleRejected(WriteRejected{At: e.At})
	}
	r.pending, r.rejections = nil, 0
	r.store.reset()
	switch {
	case w == nil:
		return nil
	case w.entry.Lease == 0 && e.Position.Revision == 0:
		// Successors learn the revision from this instance.
		return r.read()
	case w.entry.Lease == 0:
		r.observe(standingOf(&w.entry, e.Position), e.At)
		return nil
	}
	r.entry, r.revision = w.entry, e.Position.Revision
	r.leaseEnd, r.state = w.began+r.settings.Lease(), StateHolder
	if e.Position.Revision > 0 {
		r.observe(standingOf(&r.entry, e.Position), e.At)
	}
	r.expire(e.At)
	return r.nextReport(e.At)
}

// handleRejected reads the entry. It may have another holder, or an earlier write of this instance was executed late.
func (r *Reporter) handleRejected(e WriteRejected) []Action {
	r.pending, r.revision = nil, 0
	r.rejections++
	if r.state == StateLeft {
		return nil
	}
	if r.state == StateHolder {
		r.state = StateLapsed
	}
	if r.leaving {
		r.state = StateLeft
		return nil
	}
	r.expire(e.At)
	if r.rejections > 1 {
		// The last read did not show why the write was rejected, so that another one at once may not either.
		r.failStore(e.At)
		return nil
	}
	return r.read()
}

// handleUnanswered makes the next call a read: the write may have been executed.
func (r *Reporter) handleUnanswered(e WriteUnanswered) {
	r.pending, r.revision = nil, 0
	r.failStore(e.At)
}

// failStore delays the next call to the store, which has a price also while the store is down.
func (r *Reporter) failStore(at Time) {
	longest := maxBackoff
	if r.state == StateFollower {
		longest = maxFollowerBackoff
	}
	r.store.fail(at.Boot, longest)
}

// handleStanding notes what another instance knows of the duty.
func (r *Reporter) handleStanding(e StandingHeard) {
	r.observeEra(e.Standing.Position.Era, e.At)
	newer := e.Standing.Position.Revision > 0 && r.observe(e.Standing, e.At)
	if e.From == r.standing.Holder {
		r.holderHeardAt, r.checked = e.At.Boot, false
	}
	if !newer {
		return
	}
	if e.Standing.Holder != r.self && e.Standing.Token > r.entry.Token && r.state != StateLeft {
		r.state, r.revision = StateFollower, 0
	}
}
