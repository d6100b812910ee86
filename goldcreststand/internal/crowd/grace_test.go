package crowd

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// beyondGrace is a time that ends after any grace time of these tests.
const beyondGrace = 4500 * time.Millisecond

// Guards against requests that wait behind one that does not end within the grace time, and get no response because the process
// ends: those that were answered by a server, and those that were never sent to one.
func TestRequestsBehindSlowOneAtEndOfStop(t *testing.T) {
	requestsBehindSlowOne(t, func(*process) func() { return func() {} })
}

// Guards against the same in a process that is short of processor time.
func TestRequestsBehindSlowOneAtEndOfStopOfLateProcess(t *testing.T) {
	requestsBehindSlowOne(t, func(p *process) func() { return p.throttle(30*time.Millisecond, 70*time.Millisecond) })
}

// Guards against the same in a process that stands still while the time passes in which it was to answer them.
func TestRequestsBehindSlowOneAtEndOfStopOfStandingProcess(t *testing.T) {
	requestsBehindSlowOne(t, func(p *process) func() {
		timer := time.AfterFunc(3300*time.Millisecond, func() { time.AfterFunc(400*time.Millisecond, p.suspend()) })
		return func() { timer.Stop() }
	})
}

// Guards against a process that is killed before its stop has ended, with the requests that wait in it, because it stands still when
// the signal is sent and counts its time from when it goes on.
func TestRequestsBehindSlowOneAtEndOfStopThatIsNoticedLate(t *testing.T) {
	requestsBehindSlowOne(t, func(p *process) func() {
		time.AfterFunc(900*time.Millisecond, p.suspend())
		return func() {}
	})
}

// requestsBehindSlowOne tests a stop whose grace time is 4 s. The disturbance begins with the signal, and the function that it returns is
// called when the process has ended.
func requestsBehindSlowOne(t *testing.T, disturb func(p *process) (end func())) {
	t.Helper()
	const grace = 4
	d, ps := newCrossing(t, 15*time.Second, 1, grace)
	p, tl := ps[0], newTally(t, d)
	p.serve()
	links := make([]*link, 50)
	for n := range links {
		l, err := connect(p.calls, tl)
		require.NoError(t, err)
		links[n] = l
		id := fmt.Sprintf("behind-%d", n)
		require.True(t, l.send(
			newRequestUntil(id+"-slow", http.MethodGet, safePath, beyondGrace, 0, beyondGrace),
			newRequestUntil(id+"-safe", http.MethodGet, safePath, 5*time.Millisecond, 0, beyondGrace),
			newRequestUntil(id+"-unsafe", http.MethodPost, unsafePath, 5*time.Millisecond, 100, beyondGrace),
			newRequestUntil(id+"-last", http.MethodGet, safePath, 5*time.Millisecond, 0, beyondGrace),
		))
	}
	time.Sleep(300 * time.Millisecond)
	end := disturb(p)
	start := time.Now()
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	kill := time.AfterFunc(grace*time.Second, func() { _ = p.cmd.Process.Kill() })
	defer kill.Stop()
	p.requireEnded()
	t.Logf("the process ended %v after the signal, with %v s of grace", time.Since(start), grace)
	end()
	for _, l := range links {
		l.close()
	}
	tl.requireNoneLost()
}

// Guards against requests that are cut off when a process that is short of processor time ends, although their servers have answered
// or their deadlines have passed.
func TestRequestsDueAtEndOfStopOfLateProcess(t *testing.T) {
	const grace = 4
	d, ps := newCrossing(t, 15*time.Second, 1, grace)
	p := ps[0]
	rng, tl := rand.New(rand.NewPCG(*crossingSeed, 2)), newTally(t, d)
	for round := range *crossingCount {
		p.serve()
		end := p.throttle(30*time.Millisecond, 70*time.Millisecond)
		start := time.Now()
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
		var wg sync.WaitGroup
		for n := range *crossingConns {
			// Half of the calls are sent while every call is accepted, the others only if their deadlines pass before the end of the stop.
			at := time.Duration(rng.IntN(grace*500)) * time.Millisecond
			due := time.Duration(rng.IntN(grace*100)+grace*850) * time.Millisecond
			deadline, work := due-at, due-at-time.Duration(rng.IntN(grace*100))*time.Millisecond
			if at < grace*250*time.Millisecond && rng.IntN(2) == 0 {
				deadline = beyondGrace
			}
			r := newRequestUntil(fmt.Sprintf("due-%d-%d", round, n), http.MethodGet, safePath, work, 0, deadline)
			if rng.IntN(3) == 0 {
				r = newRequestUntil(r.id, http.MethodPost, unsafePath, work, 100, deadline)
			}
			wg.Go(func() {
				time.Sleep(time.Until(start.Add(at)))
				l, err := connect(p.calls, tl)
				if err != nil {
					return
				}
				defer l.close()
				l.call(r)
			})
		}
		wg.Wait()
		p.requireEnded()
		end()
		t.Logf("the process ended %v after the signal, with %v s of grace", time.Since(start), d.grace)
	}
	tl.requireNoneLost()
}
