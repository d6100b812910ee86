package probe_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/probe"
)

const (
	rate          = 0.5
	bytes         = 150
	takeoverDelay = 6 * time.Second
)

type sent struct {
	at    time.Time
	bytes ident.Bytes
}

// failing returns candidates that are all out of service and need probes.
func failing(n int, since time.Time) []probe.Candidate {
	cs := make([]probe.Candidate, n)
	for i := range cs {
		cs[i] = probe.Candidate{Server: ident.ServerID(fmt.Sprintf("s%d", i)), AssignedSince: since, OutOfService: true, ReadmissionDue: i%2 == 0}
	}
	return cs
}

// Guards against a budget that is exceeded over all instances when all servers fail, assignments change, and
// instances pause, restart and disagree about members for 3 s.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e6, 0)
		servers := rapid.IntRange(1, 12).Draw(t, "servers")
		planners := make([]*probe.Planner, 4)
		since := make([]time.Time, 4)
		owner, former, moved := 0, 0, now
		for i := range planners {
			planners[i] = probe.New(rate, bytes, takeoverDelay)
			since[i] = now
		}
		log := make(map[ident.ServerID][]sent)
		for range 600 {
			now = now.Add(500 * time.Millisecond)
			switch rapid.IntRange(0, 60).Draw(t, "event") {
			case 0:
				former, owner, moved = owner, rapid.IntRange(0, 3).Draw(t, "owner"), now
				since[owner] = now
			case 1:
				i := rapid.IntRange(0, 3).Draw(t, "restarted")
				planners[i], since[i] = probe.New(rate, bytes, takeoverDelay), now
			case 2:
				i := rapid.IntRange(0, 3).Draw(t, "resumed")
				planners[i].ResetBudgets()
				since[i] = now
			}
			for i, p := range planners {
				// The former owner learns of the change up to 3 s late.
				if i != owner && (i != former || now.Sub(moved) >= 3*time.Second) {
					p.Plan(nil, now)
					continue
				}
				for _, id := range p.Plan(failing(servers, since[i]), now) {
					used := ident.Bytes(rapid.IntRange(50, int(probe.MaxBytes)).Draw(t, "bytes"))
					log[id] = append(log[id], sent{now, used})
					if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
						p.ProbeFinished(id, used)
					}
				}
			}
		}
		for id, ps := range log {
			if v := violation(ps); v != "" {
				t.Fatalf("%s: %s", id, v)
			}
		}
	})
}

// violation describes the first period in which the probes exceed the budget by more than one probe.
func violation(ps []sent) string {
	for i := range ps {
		var sum ident.Bytes
		for j := i; j < len(ps); j++ {
			sum += ps[j].bytes
			seconds := ps[j].at.Sub(ps[i].at).Seconds()
			if float64(j-i) > rate*seconds || float64(sum) > bytes*seconds+float64(probe.MaxBytes) {
				return fmt.Sprintf("%d probes with %d bytes in %.1f s", j-i+1, sum, seconds)
			}
		}
	}
	return ""
}

// Guards against probes of busy servers, and against probes of idle ones before those due for re-admission.
func TestMostUrgentServersAreProbedFirst(t *testing.T) {
	p := probe.New(rate, bytes, 0)
	now := time.Unix(1e6, 0)
	var cs []probe.Candidate
	for i := range 40 {
		cs = append(cs, probe.Candidate{Server: ident.ServerID(fmt.Sprintf("s%02d", i)), AssignedSince: now, OutOfService: i >= 30, ReadmissionDue: i >= 36})
	}
	require.Empty(t, p.Plan(cs, now))
	now = now.Add(time.Minute)
	for i := range 10 {
		cs[i].LastCall = now
	}
	got := p.Plan(cs, now)
	require.Len(t, got, 8)
	for _, id := range got[:4] {
		require.GreaterOrEqual(t, id, ident.ServerID("s36"))
	}
	seen := make(map[ident.ServerID]bool)
	for range 200 {
		for _, id := range got {
			p.ProbeFinished(id, 200)
			seen[id] = true
		}
		now = now.Add(100 * time.Millisecond)
		got = p.Plan(cs, now)
	}
	require.Len(t, seen, 40, "servers probed once they are idle")
}
