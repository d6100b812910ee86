package ring_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/ring"
)

var start = time.Unix(1e6, 0)

func members(n int) []ring.Member {
	out := make([]ring.Member, n)
	for i := range out {
		out[i].ID = ident.InstanceID("i" + strconv.Itoa(i))
	}
	return out
}

// simulation runs instances that ping each other in virtual time.
type simulation struct {
	now      time.Time
	monitors map[ident.InstanceID]*ring.Monitor
	// down instances do not run; isolated ones reach no other instance.
	down, isolated map[ident.InstanceID]bool
}

// run returns the members that were found dead, with the number of detections.
func (w *simulation) run(ms []ring.Member, d time.Duration) map[ident.InstanceID]int {
	found := make(map[ident.InstanceID]int)
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(500 * time.Millisecond) {
		for _, m := range ms {
			if w.down[m.ID] {
				continue
			}
			monitor := w.monitors[m.ID]
			for _, to := range monitor.PingTargets(ms, w.now) {
				if !w.down[to.ID] && !w.isolated[m.ID] && !w.isolated[to.ID] {
					monitor.HandleReply(to.ID, w.now)
				}
			}
			for _, id := range monitor.DeadMembers(w.now) {
				found[id]++
			}
		}
	}
	return found
}

func newSimulation(ms []ring.Member) *simulation {
	w := &simulation{now: start, monitors: make(map[ident.InstanceID]*ring.Monitor), down: map[ident.InstanceID]bool{}, isolated: map[ident.InstanceID]bool{}}
	for _, m := range ms {
		w.monitors[m.ID] = ring.New(m.ID)
	}
	return w
}

// Guards against dead members that stay listed: lookups may name them for 6 s.
func TestDeadMembersAreDetected(t *testing.T) {
	tests := []struct {
		name string
		down []ident.InstanceID
	}{
		{name: "one", down: []ident.InstanceID{"i3"}},
		{name: "with its predecessors", down: []ident.InstanceID{"i3", "i4", "i5", "i6"}},
		{name: "all but one", down: []ident.InstanceID{"i1", "i2", "i3", "i4", "i5", "i6", "i7"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ms := members(8)
			w := newSimulation(ms)
			require.Empty(t, w.run(ms, 5*time.Second))
			for _, id := range tt.down {
				w.down[id] = true
			}
			found := w.run(ms, 4*time.Second)
			if tt.name == "all but one" {
				require.Empty(t, found, "an instance without replies cannot tell which members are dead")
				return
			}
			for _, id := range tt.down {
				require.Positive(t, found[id], "%s", id)
				delete(found, id)
			}
			require.Empty(t, found)
		})
	}
}

// Guards against an isolated instance that reports its successors as dead.
func TestIsolatedInstanceReportsNoDeadMembers(t *testing.T) {
	ms := members(8)
	w := newSimulation(ms)
	w.run(ms, 5*time.Second)
	w.isolated["i2"] = true
	found := w.run(ms, 10*time.Second)
	require.Positive(t, found["i2"])
	require.Len(t, found, 1)
}

// Guards against an instance that counts the time of its own pause as silence of its targets.
func TestResumeResetsReplyTimes(t *testing.T) {
	ms := members(3)
	w := ring.New("i0")
	w.PingTargets(ms, start)
	w.HandleReply("i1", start)
	later := start.Add(time.Minute)
	w.HandleResume(later)
	w.HandleReply("i2", later)
	require.Empty(t, w.DeadMembers(later))
}
