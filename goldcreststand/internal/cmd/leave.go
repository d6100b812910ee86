package cmd

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/goldcreststand/internal/hub"
	site "goldcreststand.example/platform"
)

// Fractions of the grace time, which begins with SIGTERM and ends with SIGKILL.
const (
	// drainFraction is the part in which a leaving instance still accepts calls of callers that keep its address.
	drainFraction = 0.5
	// cancelFraction is the end of the shutdown, at which the calls that are left are canceled. It lies in the last sixth, in which
	// operators count no call as lost at which a server is still at work.
	cancelFraction = 0.85
	// answerFraction is the part in which the responses to canceled calls, and to requests other than calls, must be written.
	answerFraction = 0.05
	// spareFraction is the part by which a stop may begin later than the signal and still end in time. maxLateFraction limits by how
	// much a later one is shortened.
	spareFraction   = 0.05
	maxLateFraction = 0.25
)

// maxControlShutdown limits how long a leaving instance waits for requests other than calls. Their handlers wait for nothing, but
// net/http also waits for new connections on which nothing was asked.
const maxControlShutdown = 500 * time.Millisecond

// fractionOf returns a fraction of the grace time.
func fractionOf(grace time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(grace))
}

// leave withdraws the instance, keeps serving callers that still use its address for part of the grace period, and waits for accepted
// calls to finish. They do not depend on control, which may not take the event in time: the error is returned after the shutdown.
func (inst *instance) leave() error {
	grace := site.Seconds(inst.settings.Bounds.Grace)
	late := lateStart(inst.loop.Standstill(), grace)
	inst.log.StateChange("node: leaving", logrus.Fields{"grace": grace.Milliseconds(), "late": late.Milliseconds()})
	start := inst.clock.Now().Add(-late)
	drain, timeout := fractionOf(grace, drainFraction), fractionOf(grace, cancelFraction)
	ctx, cancel := context.WithTimeout(context.Background(), timeout-late)
	defer cancel()
	for _, l := range inst.httpListeners {
		l.leaving.Store(true)
	}
	err := inst.withdraw(ctx, drain-late, hub.Shutdown{Until: start.Add(timeout)})
	inst.clock.Sleep(drain - inst.clock.Since(start))
	if err := inst.server.Shutdown(ctx); err != nil {
		inst.log.StateChange("node: canceling the calls in flight", logrus.Fields{"error": err.Error()})
		inst.cancelCalls(fractionOf(grace, answerFraction))
	}
	inst.flushUsage()
	inst.closeControl(min(maxControlShutdown, fractionOf(grace, answerFraction)))
	return err
}

// lateStart returns the time by which a stop must be shortened to end in time if the process may have stood still before it. The grace
// time counts from the signal, which has come at any time meanwhile. A stop is not shortened by more than that needs, because a call that
// is canceled before the last sixth of the grace time counts as lost.
func lateStart(standstill, grace time.Duration) time.Duration {
	return min(max(0, standstill-fractionOf(grace, spareFraction)), fractionOf(grace, maxLateFraction))
}

// withdraw asks control to remove the instance from the list of members, at most for the time.
func (inst *instance) withdraw(ctx context.Context, limit time.Duration, ev hub.Shutdown) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := inst.loop.Post(ctx, ev)
	if err != nil {
		inst.log.StateChange("node: control did not take the shutdown", logrus.Fields{"error": err.Error()})
	}
	return err
}

// cancelCalls cancels the calls that are left and waits for their responses. The time counts from now: a process that is late needs it
// even more.
func (inst *instance) cancelCalls(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := inst.server.CancelCalls(ctx); err != nil {
		inst.log.StateChange("node: shutdown ended with calls in flight", logrus.Fields{"error": err.Error()})
	}
}

// closeControl waits until readiness checks, lookups and requests for metrics that were read are answered.
func (inst *instance) closeControl(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var wg sync.WaitGroup
	for _, l := range inst.httpListeners {
		wg.Go(func() {
			if err := l.srv.Shutdown(ctx); err != nil {
				inst.log.StateChange("node: shutdown ended with requests in flight", logrus.Fields{"listener": l.name, "error": err.Error()})
			}
		})
	}
	wg.Wait()
}
