package hub

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/store"
	"goldcreststand.example/core/usage"
)

// usageWall is the wall-clock time of the tests' boot time 0, the start of window 340,000,000.
const usageWall = 1_700_000_000 * time.Second

// counter is a meter whose wall clock is exact apart from the jump.
type counter struct {
	*usage.Counter
	jump *time.Duration
}

func (c counter) Wall(boot time.Duration) time.Duration { return usageWall + boot + *c.jump }

// usageFleet holds instances that exchange counts in virtual time, the store's entry and the reports.
type usageFleet struct {
	all      []*harness
	meters   map[ident.InstanceID]counter
	entry    usage.Entry
	revision ident.Revision
	reports  []usage.SendReport
	dead     map[ident.InstanceID]bool
	calls    int
}

func newUsageFleet(ids ...ident.InstanceID) *usageFleet {
	f := &usageFleet{meters: make(map[ident.InstanceID]counter), dead: make(map[ident.InstanceID]bool)}
	for _, id := range ids {
		l := &Loop{state: newState(Self{Member: member(id)}, time.Unix(1e6, 0), noLog{})}
		f.meters[id] = counter{usage.NewCounter(), new(time.Duration)}
		settings := usage.Settings{Window: 5 * time.Second, Late: 10 * time.Second, ReclaimDelay: 3 * time.Second}
		WithUsage(settings, 1, f.meters[id])(l)
		h := &harness{state: l.state}
		f.all = append(f.all, h)
		h.join(ids...)
	}
	return f
}

// run lets the time pass.
func (f *usageFleet) run(d time.Duration) {
	for ; d > 0; d -= tickInterval {
		for _, h := range f.all {
			h.now, h.boot = h.now.Add(tickInterval), h.boot+tickInterval
			if !f.dead[h.self.ID] {
				f.do(h, h.tickUsage())
			}
		}
	}
}

// do carries out the actions of an instance.
func (f *usageFleet) do(h *harness, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendCounts:
			f.deliver(h, a)
		case ReadDuty:
			f.calls++
			ev := DutyRead{Entry: f.entry, Position: at(f.revision)}
			if f.revision == 0 {
				ev.Err = store.ErrNotFound.New("usage")
			}
			f.do(h, h.apply(ev))
		case WriteDuty:
			f.calls++
			ev := DutyWritten{Err: store.ErrConflict.New("usage")}
			if a.Condition == f.revision {
				f.revision++
				f.entry, ev = a.Entry, DutyWritten{Position: at(f.revision)}
			}
			f.do(h, h.apply(ev))
		case SendUsage:
			f.reports = append(f.reports, a.SendReport)
			f.do(h, h.apply(UsageSent{Window: a.Report.Window, Outcome: usage.OutcomeAccepted}))
		}
	}
}

func (f *usageFleet) deliver(from *harness, a SendCounts) {
	i := slices.IndexFunc(f.all, func(h *harness) bool { return h.self.ID == a.To.ID })
	if f.dead[a.To.ID] {
		return
	}
	reply := make(chan UsageReply, 1)
	f.do(f.all[i], f.all[i].apply(CountsReceived{Message: a.Message, Standing: a.Standing, Reply: reply}))
	f.do(from, from.apply(CountsDelivered{UsageReply: <-reply, Versions: a.Versions}))
	if a.Delivered != nil {
		a.Delivered <- struct{}{}
	}
}

// holder returns the instance that has the duty.
func (f *usageFleet) holder(t *testing.T) *harness {
	i := slices.IndexFunc(f.all, func(h *harness) bool {
		return !f.dead[h.self.ID] && h.usage.reporter.State() == usage.StateHolder
	})
	require.GreaterOrEqual(t, i, 0, "no holder")
	return f.all[i]
}

// count counts a call at every living instance, and returns their number.
func (f *usageFleet) count(w usage.Window) uint64 {
	n := uint64(0)
	for _, h := range f.all {
		if !f.dead[h.self.ID] {
			f.meters[h.self.ID].Add("t", w)
			n++
		}
	}
	return n
}

// Guards against counts of instances that are missing in a report or count twice, against several holders, and against calls
// to the store beyond one in each window.
func TestFleetReportsEachWindowOnce(t *testing.T) {
	f := newUsageFleet("i1", "i2", "i3", "i4", "i5", "i6")
	want := make(map[usage.Window]uint64)
	for second := range 60 {
		w := usage.Window(340_000_000 + second/5)
		want[w] += f.count(w)
		f.run(time.Second)
	}
	require.LessOrEqual(t, f.calls, 60/5+2*maxCandidates)
	require.GreaterOrEqual(t, len(f.reports), 10)
	for i, r := range f.reports {
		require.Equal(t, usage.Window(340_000_000+i), r.Report.Window)
		require.Equal(t, usage.Counts{"t": want[r.Report.Window]}, r.Report.Counts)
		require.Equal(t, f.reports[0].Holder, r.Holder)
	}
}

// Guards against a window that lacks counts or is late because its holder died in the middle of it.
func TestTakeoverKeepsCounts(t *testing.T) {
	f := newUsageFleet("i1", "i2", "i3", "i4", "i5", "i6")
	f.run(22 * time.Second)
	dead := f.holder(t)
	w := usage.Window(340_000_004)
	n := f.count(w)
	f.run(1500 * time.Millisecond)
	f.dead[dead.self.ID] = true
	f.run(3 * time.Second)
	for _, h := range f.all {
		h.members = slices.DeleteFunc(slices.Clone(h.members), func(m ring.Member) bool { return m.ID == dead.self.ID })
		h.usage.candidates = nil
	}
	f.run(8 * time.Second)
	i := slices.IndexFunc(f.reports, func(r usage.SendReport) bool { return r.Report.Window == w })
	require.GreaterOrEqual(t, i, 0)
	require.Equal(t, usage.Counts{"t": n}, f.reports[i].Report.Counts)
	require.NotEqual(t, dead.self.ID, f.reports[i].Holder)
	require.Equal(t, usage.Token(2), f.reports[i].Token)
}

// Guards against counts that are lost when an instance, or the holder itself, leaves in the middle of a window.
func TestLeavingInstancesHandCountsOver(t *testing.T) {
	f := newUsageFleet("i1", "i2", "i3", "i4", "i5", "i6")
	f.run(22 * time.Second)
	holder := f.holder(t)
	f.do(holder, holder.apply(Shutdown{}))
	for _, h := range f.all {
		h.members = slices.DeleteFunc(slices.Clone(h.members), func(m ring.Member) bool { return m.ID == holder.self.ID })
		h.usage.candidates = nil
	}
	f.run(1500 * time.Millisecond)
	w := usage.Window(340_000_004)
	n := f.count(w)
	receivers, delivered := make(chan int, 1), make(chan struct{}, maxReceivers)
	f.do(holder, holder.apply(FlushCounts{Receivers: receivers, Delivered: delivered}))
	require.Equal(t, maxReceivers, <-receivers)
	require.Len(t, delivered, maxReceivers)
	f.dead[holder.self.ID] = true
	f.run(8 * time.Second)
	i := slices.IndexFunc(f.reports, func(r usage.SendReport) bool { return r.Report.Window == w })
	require.GreaterOrEqual(t, i, 0)
	require.Equal(t, usage.Counts{"t": n}, f.reports[i].Report.Counts)
	require.NotEqual(t, holder.self.ID, f.reports[i].Holder)
}

// Guards against a report that lacks the calls of an instance which was suspended when its window ended.
func TestReportWaitsForSuspendedInstance(t *testing.T) {
	f := newUsageFleet("i1", "i2", "i3", "i4", "i5", "i6")
	f.run(22 * time.Second)
	i := slices.IndexFunc(f.all, func(h *harness) bool { return h != f.holder(t) })
	w := usage.Window(340_000_004)
	n := f.count(w)
	f.dead[f.all[i].self.ID] = true
	f.run(7500 * time.Millisecond)
	f.dead[f.all[i].self.ID] = false
	f.run(2 * time.Second)
	k := slices.IndexFunc(f.reports, func(r usage.SendReport) bool { return r.Report.Window == w })
	require.GreaterOrEqual(t, k, 0)
	require.Equal(t, usage.Counts{"t": n}, f.reports[k].Report.Counts)
}

// Guards against a holder whose clock is ahead and that reports windows before the other instances have counted all calls.
func TestHolderWithWrongClock(t *testing.T) {
	f := newUsageFleet("i1", "i2", "i3", "i4", "i5", "i6")
	f.run(22 * time.Second)
	*f.meters[f.holder(t).self.ID].jump = 6 * time.Second
	f.run(2 * time.Second)
	w := usage.Window(340_000_004)
	n := f.count(w)
	f.run(8 * time.Second)
	i := slices.IndexFunc(f.reports, func(r usage.SendReport) bool { return r.Report.Window == w })
	require.GreaterOrEqual(t, i, 0)
	require.Equal(t, usage.Counts{"t": n}, f.reports[i].Report.Counts)
}

// Guards against a small instance that receives the counts of all while instances with faster links live.
func TestFastInstancesAreCandidatesFirst(t *testing.T) {
	f := newUsageFleet("i1", "i2", "i3")
	h := f.all[0]
	for i := range h.members {
		h.members[i].LinkCapacity = 10
	}
	h.members[2].LinkCapacity = 200
	h.usage.candidates = nil
	require.Equal(t, ident.InstanceID("i3"), h.usageCandidates()[0].ID)
	require.Len(t, h.usageCandidates(), 3)
}

// Guards against results of calls that the reporter takes for another result.
func TestStoreErrorsOfTheDuty(t *testing.T) {
	f := newUsageFleet("i1")
	f.run(6 * time.Second)
	h := f.all[0]
	require.Equal(t, usage.StateHolder, h.usage.reporter.State())
	h.boot += time.Minute
	require.Equal(t, []Action{ReadDuty{}}, actionsAs[ReadDuty](h.tickUsage()))
	require.Empty(t, h.apply(DutyRead{Err: store.ErrUnavailable.New("down")}))
	h.boot += time.Minute
	require.Equal(t, []Action{ReadDuty{}}, actionsAs[ReadDuty](h.tickUsage()))
	require.Len(t, actionsAs[WriteDuty](h.apply(DutyRead{Entry: f.entry, Position: at(f.revision)})), 1)
	require.Empty(t, h.apply(DutyWritten{Err: errors.New("lost")}))
	h.boot += time.Minute
	h.tickUsage()
	require.Len(t, actionsAs[WriteDuty](h.apply(DutyRead{Entry: f.entry, Position: at(f.revision)})), 1)
	require.Equal(t, []Action{ReadDuty{}}, h.apply(DutyWritten{Err: store.ErrConflict.New("usage")}))
}

// actionsAs returns the actions of one type.
func actionsAs[T Action](actions []Action) []Action {
	return slices.DeleteFunc(slices.Clone(actions), func(a Action) bool {
		_, ok := a.(T)
		return !ok
	})
}
