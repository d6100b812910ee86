package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/retry"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const deadline = 100 * time.Millisecond

// world is a model of the servers, the clock and the caller of one call.
type world struct {
	call     *retry.Call
	policy   retry.Policy
	now      time.Time
	timer    time.Time
	pending  map[retry.Try]bool
	executed map[retry.Try]bool
	canceled map[retry.Try]bool
	sent     int
	// drawn counts the sends that must have drawn on the budget.
	drawn    int
	refused  bool
	unproved bool
	final    retry.Action
}

func (w *world) handle(t *rapid.T, ev retry.Event) {
	_, w.refused = ev.(retry.Refused)
	for _, a := range w.call.Handle(ev) {
		w.act(t, a)
	}
}

func (w *world) act(t *rapid.T, a retry.Action) {
	switch a := a.(type) {
	case retry.Send:
		require.Nil(t, w.final, "send after the verdict")
		require.Positive(t, a.Remaining)
		require.Equal(t, start.Add(deadline).Sub(w.now), a.Remaining)
		w.sent++
		require.LessOrEqual(t, w.sent, w.policy.Tries)
		if w.sent > 1 && !w.refused && (!a.Hedge || !w.unproved) {
			w.drawn++
		}
		w.pending[a.Try] = true
	case retry.SetTimer:
		w.timer = a.At
	case retry.Cancel:
		require.True(t, w.pending[a.Try], "cancel of a try that is not pending")
		w.canceled[a.Try] = true
	case retry.Drop:
		w.canceled[a.Try] = true
	case retry.Return:
		require.False(t, w.canceled[a.Try], "response of a canceled try returned")
		w.verdict(t, a)
	case retry.Reject:
		require.Empty(t, w.executed, "rejected as not executed")
		require.Empty(t, w.pending, "a pending try may still execute the call")
		w.verdict(t, a)
	case retry.Unknown:
		require.NotEmpty(t, w.executed, "outcome reported as unknown, but it is certain")
		w.verdict(t, a)
	}
}

func (w *world) verdict(t *rapid.T, a retry.Action) {
	require.Nil(t, w.final, "second verdict")
	w.final = a
}

// step lets one pending try, a timer or the caller act.
func (w *world) step(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
	switch {
	case !w.now.Before(start.Add(deadline)):
		w.handle(t, retry.DeadlinePassed{At: w.now})
	case !w.timer.IsZero() && !w.now.Before(w.timer):
		w.timer = time.Time{}
		w.handle(t, retry.HedgeDue{At: w.now})
	case rapid.IntRange(0, 19).Draw(t, "caller") == 0:
		w.handle(t, retry.CallerGone{At: w.now})
	}
	for n := retry.Try(1); int(n) <= w.sent; n++ {
		if w.pending[n] && rapid.Bool().Draw(t, "acts") {
			w.fault(t, n)
			return
		}
	}
}

// fault ends a try in one of the ways in which a server can; some of them execute the call.
func (w *world) fault(t *rapid.T, n retry.Try) {
	spent := rapid.IntRange(0, 4).Draw(t, "spent") == 0
	kind := rapid.SampledFrom([]string{"refused", "shed", "broken", "failed", "ok", "none", "unproved"}).Draw(t, "kind")
	switch kind {
	case "broken", "failed", "ok":
		w.executed[n] = true
	case "unproved":
		w.unproved = true
		w.handle(t, retry.Connected{At: w.now, Try: n})
		return
	}
	delete(w.pending, n)
	switch kind {
	case "refused":
		w.handle(t, retry.Refused{At: w.now, Try: n, Spent: spent})
	case "shed":
		w.handle(t, retry.Shed{At: w.now, Try: n, Spent: spent})
	case "broken":
		w.handle(t, retry.Broken{At: w.now, Try: n, Spent: spent})
	case "failed":
		w.handle(t, retry.Failed{At: w.now, Try: n, Spent: spent})
	case "ok":
		w.handle(t, retry.Responded{At: w.now, Try: n})
	case "none":
		w.handle(t, retry.NoServer{At: w.now, Try: n})
	}
}

// Guards against a second execution of a call that is not idempotent, a rejection of a call that a
// server executed, a response of a canceled try, and resends beyond the budget.
func TestCallAgainstModelServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const burst, share, calls = 2, 100, 12
		budget := retry.NewBudget(share, burst)
		drawn := 0
		for range calls {
			p := retry.Policy{
				Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Tries:      rapid.IntRange(1, 4).Draw(t, "tries"),
				HedgeDelay: time.Duration(rapid.IntRange(0, 30).Draw(t, "hedge")) * time.Millisecond,
			}
			w := &world{
				call: retry.New(p, budget, start.Add(deadline)), policy: p, now: start,
				pending: make(map[retry.Try]bool), executed: make(map[retry.Try]bool), canceled: make(map[retry.Try]bool),
			}
			w.handle(t, retry.Started{At: w.now})
			for range 200 {
				if w.final != nil && len(w.pending) == 0 {
					break
				}
				w.step(t)
			}
			require.NotNil(t, w.final, "no verdict")
			require.True(t, w.call.Final())
			if !p.Idempotent {
				require.LessOrEqual(t, len(w.executed), 1, "executed twice")
			}
			drawn += w.drawn
		}
		require.LessOrEqual(t, drawn, burst+calls*share/1000, "resends beyond the budget")
	})
}

// Guards against a call that is sent again after a signal that did execute it, or not sent again when
// it is certain that it was not executed.
func TestSecondTry(t *testing.T) {
	now := start.Add(time.Millisecond)
	tests := []struct {
		name       string
		idempotent bool
		ev         retry.Event
		want       retry.Action
	}{
		{name: "refused", ev: retry.Refused{At: now, Try: 1}, want: retry.Send{Try: 2, Remaining: 99 * time.Millisecond}},
		{name: "refused, body spent", ev: retry.Refused{At: now, Try: 1, Spent: true}, want: retry.Reject{Cause: retry.CauseRefused}},
		{name: "shed", ev: retry.Shed{At: now, Try: 1}, want: retry.Send{Try: 2, Remaining: 99 * time.Millisecond}},
		{name: "broken", ev: retry.Broken{At: now, Try: 1}, want: retry.Unknown{Cause: retry.CauseBroken}},
		{name: "broken, idempotent", idempotent: true, ev: retry.Broken{At: now, Try: 1}, want: retry.Send{Try: 2, Remaining: 99 * time.Millisecond}},
		{name: "failed", ev: retry.Failed{At: now, Try: 1}, want: retry.Return{Try: 1}},
		{name: "no server", ev: retry.NoServer{At: now, Try: 1}, want: retry.Reject{Cause: retry.CauseNoServer}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := retry.New(retry.Policy{Idempotent: tt.idempotent, Tries: 3}, retry.NewBudget(100, 1), start.Add(deadline))
			require.Equal(t, []retry.Action{retry.Send{Try: 1, Remaining: deadline}}, c.Handle(retry.Started{At: start}))
			require.Equal(t, []retry.Action{tt.want}, c.Handle(tt.ev))
		})
	}
}

// Guards against a hedge delay that does not follow the 95th percentile after a change of latency.
func TestDelayFollowsPercentile(t *testing.T) {
	d := retry.NewDelay(20*time.Millisecond, time.Millisecond)
	for _, scale := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 500 * time.Microsecond} {
		for i := range 4000 {
			d.Observe(time.Duration(i*37%100+1) * scale / 10)
		}
		require.InEpsilon(t, float64(95*scale/10), float64(d.Value()), 0.25)
	}
}
