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

// callModel simulates the servers, the clock and the caller of one call.
type callModel struct {
	call     *retry.Call
	policy   retry.Policy
	now      time.Time
	timer    time.Time
	pending  map[retry.TryNumber]bool
	executed map[retry.TryNumber]bool
	canceled map[retry.TryNumber]bool
	sent     int
	// withdrawn counts the sends that must have used the budget.
	withdrawn  int
	refused    bool
	unverified bool
	final      retry.Action
}

func (w *callModel) handle(t *rapid.T, ev retry.Event) {
	_, w.refused = ev.(retry.ConnectFailed)
	for _, a := range w.call.Handle(ev) {
		w.act(t, a)
	}
}

func (w *callModel) act(t *rapid.T, a retry.Action) {
	switch a := a.(type) {
	case retry.SendTry:
		require.Nil(t, w.final, "send after the final action")
		require.Positive(t, a.Remaining)
		require.Equal(t, start.Add(deadline).Sub(w.now), a.Remaining)
		w.sent++
		require.LessOrEqual(t, w.sent, w.policy.MaxTries)
		if w.sent > 1 && !w.refused && (!a.Hedge || !w.unverified) {
			w.withdrawn++
		}
		w.pending[a.Try] = true
	case retry.SetHedgeTimer:
		w.timer = a.At
	case retry.CancelTry:
		require.True(t, w.pending[a.Try], "cancel of a try that is not pending")
		w.canceled[a.Try] = true
	case retry.DiscardResponse:
		w.canceled[a.Try] = true
	case retry.ReturnResponse:
		require.False(t, w.canceled[a.Try], "response of a canceled try returned")
		w.recordFinal(t, a)
	case retry.RejectCall:
		require.Empty(t, w.executed, "rejected as not executed")
		require.Empty(t, w.pending, "a pending try may still execute the call")
		w.recordFinal(t, a)
	case retry.ReportUnknown:
		require.NotEmpty(t, w.executed, "outcome reported as unknown, but it is certain")
		w.recordFinal(t, a)
	}
}

func (w *callModel) recordFinal(t *rapid.T, a retry.Action) {
	require.Nil(t, w.final, "second final action")
	w.final = a
}

// step produces an event of the deadline, the hedge timer or the caller, and one of a pending try.
func (w *callModel) step(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
	switch {
	case !w.now.Before(start.Add(deadline)):
		w.handle(t, retry.DeadlinePassed{At: w.now})
	case !w.timer.IsZero() && !w.now.Before(w.timer):
		w.timer = time.Time{}
		w.handle(t, retry.HedgeTimerFired{At: w.now})
	case rapid.IntRange(0, 19).Draw(t, "caller") == 0:
		w.handle(t, retry.CallerDisconnected{At: w.now})
	}
	for n := retry.TryNumber(1); int(n) <= w.sent; n++ {
		if w.pending[n] && rapid.Bool().Draw(t, "acts") {
			w.endTry(t, n)
			return
		}
	}
}

// endTry ends a try in one of the ways that a server can cause; some of them execute the call.
func (w *callModel) endTry(t *rapid.T, n retry.TryNumber) {
	bodyConsumed := rapid.IntRange(0, 4).Draw(t, "spent") == 0
	kind := rapid.SampledFrom([]string{"refused", "shed", "broken", "failed", "ok", "none", "unproved"}).Draw(t, "kind")
	switch kind {
	case "broken", "failed", "ok":
		w.executed[n] = true
	case "unproved":
		w.unverified = true
		w.handle(t, retry.TryConnected{At: w.now, Try: n})
		return
	}
	delete(w.pending, n)
	switch kind {
	case "refused":
		w.handle(t, retry.ConnectFailed{At: w.now, Try: n, BodyConsumed: bodyConsumed})
	case "shed":
		w.handle(t, retry.TryShed{At: w.now, Try: n, BodyConsumed: bodyConsumed})
	case "broken":
		w.handle(t, retry.ConnectionBroken{At: w.now, Try: n, BodyConsumed: bodyConsumed})
	case "failed":
		w.handle(t, retry.ErrorResponseReceived{At: w.now, Try: n, BodyConsumed: bodyConsumed})
	case "ok":
		w.handle(t, retry.ResponseReceived{At: w.now, Try: n})
	case "none":
		w.handle(t, retry.NoServerAvailable{At: w.now, Try: n})
	}
}

// Guards against a second execution of a call that is not idempotent, a rejection of a call that a server
// executed, a response of a canceled try, and resends beyond the budget.
func TestCallAgainstModelServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const burst, share, calls = 2, 100, 12
		budget := retry.NewTokenBucket(share, burst)
		withdrawn := 0
		for range calls {
			p := retry.Policy{
				Idempotent: rapid.Bool().Draw(t, "idempotent"),
				MaxTries:   rapid.IntRange(1, 4).Draw(t, "tries"),
				HedgeDelay: time.Duration(rapid.IntRange(0, 30).Draw(t, "hedge")) * time.Millisecond,
			}
			w := &callModel{
				call: retry.New(p, budget, start.Add(deadline)), policy: p, now: start,
				pending: make(map[retry.TryNumber]bool), executed: make(map[retry.TryNumber]bool), canceled: make(map[retry.TryNumber]bool),
			}
			w.handle(t, retry.CallStarted{At: w.now})
			for range 200 {
				if w.final != nil && len(w.pending) == 0 {
					break
				}
				w.step(t)
			}
			require.NotNil(t, w.final, "no final action")
			require.True(t, w.call.Final())
			if !p.Idempotent {
				require.LessOrEqual(t, len(w.executed), 1, "executed twice")
			}
			withdrawn += w.withdrawn
		}
		require.LessOrEqual(t, withdrawn, burst+calls*share/1000, "resends beyond the budget")
	})
}

// Guards against a resend of a call that may have been executed, and against a missing resend of a call that was
// certainly not executed.
func TestSecondTry(t *testing.T) {
	now := start.Add(time.Millisecond)
	tests := []struct {
		name       string
		idempotent bool
		ev         retry.Event
		want       retry.Action
	}{
		{name: "refused", ev: retry.ConnectFailed{At: now, Try: 1}, want: retry.SendTry{Try: 2, Remaining: 99 * time.Millisecond}},
		{name: "refused, body consumed", ev: retry.ConnectFailed{At: now, Try: 1, BodyConsumed: true}, want: retry.RejectCall{Cause: retry.CauseRefused}},
		{name: "shed", ev: retry.TryShed{At: now, Try: 1}, want: retry.SendTry{Try: 2, Remaining: 99 * time.Millisecond}},
		{name: "broken", ev: retry.ConnectionBroken{At: now, Try: 1}, want: retry.ReportUnknown{Cause: retry.CauseBroken}},
		{name: "broken, idempotent", idempotent: true, ev: retry.ConnectionBroken{At: now, Try: 1}, want: retry.SendTry{Try: 2, Remaining: 99 * time.Millisecond}},
		{name: "failed", ev: retry.ErrorResponseReceived{At: now, Try: 1}, want: retry.ReturnResponse{Try: 1}},
		{name: "no server", ev: retry.NoServerAvailable{At: now, Try: 1}, want: retry.RejectCall{Cause: retry.CauseNoServer}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := retry.New(retry.Policy{Idempotent: tt.idempotent, MaxTries: 3}, retry.NewTokenBucket(100, 1), start.Add(deadline))
			require.Equal(t, []retry.Action{retry.SendTry{Try: 1, Remaining: deadline}}, c.Handle(retry.CallStarted{At: start}))
			require.Equal(t, []retry.Action{tt.want}, c.Handle(tt.ev))
		})
	}
}

// Guards against an estimate that does not follow the 95th percentile after a change of latency.
func TestP95EstimatorFollowsPercentile(t *testing.T) {
	d := retry.NewP95Estimator(20*time.Millisecond, time.Millisecond)
	for _, scale := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 500 * time.Microsecond} {
		for i := range 4000 {
			d.Observe(time.Duration(i*37%100+1) * scale / 10)
		}
		require.InEpsilon(t, float64(95*scale/10), float64(d.Value()), 0.25)
	}
}

// Guards against an estimate of the 99th percentile that lies among the usual latencies, or far above the rare ones.
func TestP99EstimatorFollowsPercentile(t *testing.T) {
	d := retry.NewP99Estimator(20*time.Millisecond, time.Millisecond)
	for _, scale := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 500 * time.Microsecond} {
		for i := range 8000 {
			d.Observe(time.Duration(i*37%100+1) * scale / 10)
		}
		require.InEpsilon(t, float64(99*scale/10), float64(d.Value()), 0.25)
	}
}

// Guards against a retry that is never sent, because no server is found for it, and still uses up the budget of other calls.
func TestUnsentRetryIsGivenBack(t *testing.T) {
	at := time.Unix(1e6, 0)
	budget := retry.NewSlidingWindow(0, 1, 10*time.Second, at)
	for range 2 {
		c := retry.New(retry.Policy{MaxTries: 2}, budget, at.Add(time.Minute))
		c.Handle(retry.CallStarted{At: at})
		require.IsType(t, retry.SendTry{}, c.Handle(retry.TryShed{At: at, Try: 1})[0])
		require.Equal(t, []retry.Action{retry.RejectCall{Cause: retry.CauseShed}}, c.Handle(retry.NoServerAvailable{At: at, Try: 2}))
	}
}
