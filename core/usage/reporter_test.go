package usage

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/store"
)

// revision returns the position of a revision in a store that has no eras.
func revision(rev ident.Revision) store.Position { return store.Position{Revision: rev} }

// lucky draws the first choice always.
func lucky(int) int { return 0 }

// Guards against two different reports of a window, falling tokens, two holders of a token and holders in quick alternation, under
// suspensions, restarts, planned stops, clock steps, lost messages and any failure of the store or the API.
func TestReportsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(3, func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") })
		w.noRevisions = rapid.Bool().Draw(rt, "noRevisions")
		w.runWithFaults(rapid.IntRange(1, 40).Draw(rt, "faults"))
		require.NoError(rt, w.fault)
	})
}

// Guards against a model that finds no fault: without the check directly before the send, it must find one.
func TestModelDetectsMissingCheck(t *testing.T) {
	for seed := range uint64(2000) {
		w := newWorld(3, rand.New(rand.NewPCG(seed, 1)).IntN)
		w.unchecked = true
		w.runWithFaults(40)
		if w.fault != nil {
			t.Logf("seed %d: %v", seed, w.fault)
			return
		}
	}
	require.Fail(t, "no fault found")
}

// reportedAt returns the time of the first report of each window, relative to the end of the window.
func (w *world) reportedAt() map[Window]time.Duration {
	out := make(map[Window]time.Duration)
	for _, a := range w.arrivals {
		if _, ok := out[a.report.Window]; !ok {
			out[a.report.Window] = wallStart + a.at - testSettings().End(a.report.Window)
		}
	}
	return out
}

// requireOnTime requires that every window that ended at least 10 s ago was reported in time, from the first one on.
func (w *world) requireOnTime(t *testing.T) {
	at := w.reportedAt()
	last := testSettings().WindowAt(wallStart + w.now - 10*time.Second)
	for n := testSettings().WindowAt(wallStart); n < last; n++ {
		require.Contains(t, at, n)
		require.LessOrEqual(t, at[n], testSettings().Late, "window %d", n)
	}
	require.NoError(t, w.fault)
}

// Guards against missing reports and against calls to the store beyond one in each window.
func TestCalmDay(t *testing.T) {
	w := newWorld(3, lucky)
	w.run(10 * time.Second)
	before := w.storeOps
	w.run(100 * time.Second)
	require.LessOrEqual(t, w.storeOps-before, 20)
	w.requireOnTime(t)
}

// holder returns the node that has the duty.
func (w *world) holder(t *testing.T) *node {
	for _, n := range w.nodes {
		if !n.dead && n.reporter.State() == StateHolder {
			return n
		}
	}
	require.Fail(t, "no holder")
	return nil
}

// Guards against a window that is reported late because its holder died. Only a report that is stored and not yet answered at
// that moment is late, since the lease of that write must end first.
func TestTakeoverIsInTime(t *testing.T) {
	for offset := time.Duration(0); offset < 5*time.Second; offset += tickTime {
		w := newWorld(3, lucky)
		w.run(30*time.Second + offset)
		n := w.holder(t)
		for n.reporter.pending != nil || n.reporter.sending {
			w.run(tickTime)
		}
		w.kill(n)
		w.run(40 * time.Second)
		w.requireOnTime(t)
	}
}

// Guards against a successor that waits for much longer than the lease because it did not know the last write of a dead holder.
func TestSilentHolderIsChecked(t *testing.T) {
	w := newWorld(3, lucky)
	w.run(33800 * time.Millisecond)
	n := w.holder(t)
	n.cut = true
	w.run(500 * time.Millisecond)
	require.Equal(t, testSettings().WindowAt(wallStart+w.now)-1, n.reporter.Standing().Stored)
	w.kill(n)
	w.run(11 * time.Second)
	w.holder(t)
}

// Guards against a planned stop of the holder that delays a report, and against a successor that waits for the lease.
func TestHolderLeaves(t *testing.T) {
	w := newWorld(3, lucky)
	w.run(30 * time.Second)
	n := w.holder(t)
	w.handle(n, Leave{At: w.time(n)})
	w.run(2 * time.Second)
	require.NotEqual(t, n, w.holder(t))
	w.kill(n)
	w.run(30 * time.Second)
	w.requireOnTime(t)
}

// Guards against a holder that is no candidate any more, such as a small instance, and keeps the duty for ever.
func TestOutrankedHolderHandsOver(t *testing.T) {
	w := newWorld(3, lucky)
	w.kill(w.nodes[0])
	w.kill(w.nodes[1])
	w.run(20 * time.Second)
	require.Equal(t, w.nodes[2], w.holder(t))
	w.restart(w.nodes[0])
	w.restart(w.nodes[1])
	w.run(handoverTime + 6*time.Second)
	require.Equal(t, w.nodes[0], w.holder(t))
	require.Equal(t, StateFollower, w.nodes[2].reporter.State())
	w.run(20 * time.Second)
	w.requireOnTime(t)
}

// Guards against a report that is sent after the lease ended because the holder was suspended between its decision and the send.
func TestSuspendedHolderDoesNotSend(t *testing.T) {
	w := newWorld(2, lucky)
	w.run(20 * time.Second)
	n := w.holder(t)
	sent := len(w.arrivals)
	// Until the write of the next window is done and its report is about to be sent.
	for !n.reporter.sending {
		w.run(tickTime)
	}
	n.suspendedUntil = w.now + 15*time.Second
	w.run(30 * time.Second)
	require.NoError(t, w.fault)
	require.NotEqual(t, n.id, w.arrivals[sent].holder)
	require.Greater(t, w.arrivals[sent].token, w.arrivals[sent-1].token)
}

// Guards against reports that are lost or sent without a lease while the store is away.
func TestStoreDownWhileLeaseEnds(t *testing.T) {
	w := newWorld(2, lucky)
	w.run(20 * time.Second)
	n := w.holder(t)
	w.store = modeDown
	w.run(10 * time.Second)
	require.Equal(t, StateLapsed, n.reporter.State())
	sent := len(w.arrivals)
	w.run(20 * time.Second)
	require.Len(t, w.arrivals, sent)
	w.store = modeGood
	w.run(20 * time.Second)
	at := w.reportedAt()
	for k := testSettings().WindowAt(wallStart); k < testSettings().WindowAt(wallStart+w.now-10*time.Second); k++ {
		require.Contains(t, at, k)
	}
	require.NoError(t, w.fault)
}

// Guards against counts that differ after the response of a write was lost, and against a late report for that reason.
func TestLostWriteResponse(t *testing.T) {
	w := newWorld(2, lucky)
	w.run(18 * time.Second)
	w.store = modeLost
	w.run(2 * time.Second)
	w.store = modeGood
	w.run(30 * time.Second)
	w.requireOnTime(t)
}

// Guards against a report that differs from an earlier one whose answer was lost, and against one that is not repeated.
func TestLostAnswerOfTheAPI(t *testing.T) {
	w := newWorld(2, lucky)
	w.run(18 * time.Second)
	w.api = modeLost
	w.run(5 * time.Second)
	w.kill(w.holder(t))
	w.api = modeGood
	w.run(30 * time.Second)
	w.requireOnTime(t)
}

// Guards against two holders after two claims at once.
func TestTwoClaimsAtOnce(t *testing.T) {
	ledger := NewLedger()
	at := Time{Boot: time.Hour, Wall: wallStart}
	writes := make([]WriteEntry, 0, 2)
	reporters := []*Reporter{NewReporter("a", testSettings(), ledger), NewReporter("b", testSettings(), ledger)}
	for _, r := range reporters {
		r.Handle(Tick{At: at, Rank: 0, Alone: true})
	}
	at.Boot += 4 * time.Second
	for _, r := range reporters {
		require.Equal(t, []Action{ReadEntry{}}, r.Handle(Tick{At: at, Rank: 0, Alone: true}))
		out := r.Handle(EntryRead{At: at, Absent: true})
		require.Len(t, out, 1)
		writes = append(writes, out[0].(WriteEntry))
	}
	require.Equal(t, writes[0].Entry.Token, writes[1].Entry.Token)
	reporters[0].Handle(EntryWritten{At: at, Position: revision(7)})
	require.Equal(t, []Action{ReadEntry{}}, reporters[1].Handle(WriteRejected{At: at}))
	require.Empty(t, reporters[1].Handle(EntryRead{At: at, Entry: writes[0].Entry, Position: revision(7)}))
	require.Equal(t, StateFollower, reporters[1].State())
}

// Guards against a restarted holder that waits for the end of its own lease, or that sends before the store confirmed it.
func TestRestartedHolderRenewsAtOnce(t *testing.T) {
	r := NewReporter("a", testSettings(), NewLedger())
	at := Time{Boot: time.Hour, Wall: wallStart}
	r.Handle(Tick{At: at, Rank: 0})
	at.Boot += joinTime
	require.Equal(t, []Action{ReadEntry{}}, r.Handle(Tick{At: at, Rank: 0}))
	stored := Entry{Holder: "a", Token: 4, Lease: 8 * time.Second, Reports: []Report{{Window: 339999998}}}
	out := r.Handle(EntryRead{At: at, Entry: stored, Position: revision(9)})
	require.Len(t, out, 1)
	require.Equal(t, Token(4), out[0].(WriteEntry).Entry.Token)
	out = r.Handle(EntryWritten{At: at, Position: revision(10)})
	require.Equal(t, []Action{SendReport{Report: stored.Reports[0], Holder: "a", Token: 4, Until: at.Boot + 8*time.Second - sendMargin}}, out)
}

// Guards against holders A, B, A in quick succession: a process that was just started takes no duty that another instance held
// since its earlier process sent a report.
func TestRestartedInstanceWaitsBeforeItClaims(t *testing.T) {
	r := NewReporter("a", testSettings(), NewLedger())
	at := Time{Boot: time.Hour, Wall: wallStart}
	r.Handle(Tick{At: at, Rank: 0})
	released := Standing{Holder: "b", Token: 5, Position: revision(9)}
	r.Handle(StandingHeard{At: at, Standing: released})
	at.Boot += testSettings().ReclaimDelay - tickTime
	require.Empty(t, r.Handle(Tick{At: at, Rank: 0}))
	at.Boot += tickTime
	require.Equal(t, []Action{ReadEntry{}}, r.Handle(Tick{At: at, Rank: 0}))
	out := r.Handle(EntryRead{At: at, Entry: Entry{Holder: "b", Token: 5}, Position: revision(9)})
	require.Len(t, out, 1)
	require.Equal(t, Token(6), out[0].(WriteEntry).Entry.Token)
}

// Guards against calls to a store without a pause while it rejects the writes on condition of the revision that it returns, as
// with reads from a copy that lags behind.
func TestRejectedWritesBackOff(t *testing.T) {
	r := NewReporter("a", testSettings(), NewLedger())
	at := Time{Boot: time.Hour, Wall: wallStart}
	r.Handle(Tick{At: at, Rank: 0})
	at.Boot += joinTime
	out := r.Handle(Tick{At: at, Rank: 0})
	calls := 0
	for end := at.Boot + 20*time.Second; at.Boot < end; at.Boot += 10 * time.Millisecond {
		for len(out) > 0 {
			require.Len(t, out, 1)
			calls++
			at.Boot += time.Millisecond
			if _, ok := out[0].(ReadEntry); ok {
				out = r.Handle(EntryRead{At: at, Entry: Entry{Holder: "a", Token: 4, Lease: 8 * time.Second}, Position: revision(9)})
			} else {
				out = r.Handle(WriteRejected{At: at})
			}
			if calls > 1000 {
				require.Fail(t, "more than 1000 calls", "in %s", at.Boot-time.Hour-joinTime)
			}
		}
		out = r.Handle(Tick{At: at, Rank: 0})
	}
	require.LessOrEqual(t, calls, 30)
}

// Guards against a holder that stops as planned after a write without an answer, or with a store that returns no revisions, and does
// not give the duty up, so that its successor waits for the end of the lease.
func TestLeavingHolderReadsBeforeItReleases(t *testing.T) {
	r := NewReporter("a", testSettings(), NewLedger())
	at := Time{Boot: time.Hour, Wall: wallStart}
	r.Handle(Tick{At: at, Rank: 0})
	at.Boot += joinTime
	r.Handle(Tick{At: at, Rank: 0})
	stored := Entry{Holder: "a", Token: 4, Lease: 8 * time.Second}
	require.Len(t, r.Handle(EntryRead{At: at, Entry: stored, Position: revision(9)}), 1)
	r.Handle(EntryWritten{At: at})
	require.Equal(t, StateHolder, r.State())
	r.Handle(Leave{At: at})
	require.Equal(t, []Action{ReadEntry{}}, r.Handle(Tick{At: at, Rank: -1}))
	out := r.Handle(EntryRead{At: at, Entry: stored, Position: revision(10)})
	require.Len(t, out, 1)
	require.Zero(t, out[0].(WriteEntry).Entry.Lease)
	require.Equal(t, ident.Revision(10), out[0].(WriteEntry).Condition)
}
