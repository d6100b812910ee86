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
	// answerFraction is the part in which the responses to canceled calls must be written, less the time for the last counts of usage,
	// but minAnswerFraction at least. Control listeners have as much. What is left is spare for a signal that is noticed late.
	answerFraction    = 0.1
	minAnswerFraction = 0.05
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
	inst.log.StateChange("node: leaving", logrus.Fields{"grace": grace.Milliseconds()})
	start := inst.clock.Now()
	drain, timeout := fractionOf(grace, drainFraction), fractionOf(grace, cancelFraction)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, l := range inst.httpListeners {
		l.leaving.Store(true)
	}
	err := inst.withdraw(ctx, drain, hub.Shutdown{Until: start.Add(timeout)})
	inst.clock.Sleep(drain - inst.clock.Since(start))
	shutdownErr := inst.server.Shutdown(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { inst.closeControl(min(maxControlShutdown, fractionOf(grace, answerFraction))) })
	if shutdownErr != nil {
		inst.log.StateChange("node: canceling the calls in flight", logrus.Fields{"error": shutdownErr.Error()})
		inst.cancelCalls(inst.answerTime(grace))
	}
	inst.flushUsage()
	wg.Wait()
	return err
}

// answerTime returns the time in which the responses to canceled calls must be written.
func (inst *instance) answerTime(grace time.Duration) time.Duration {
	out := fractionOf(grace, answerFraction)
	if inst.meter == nil {
		return out
	}
	return max(out-flushTimeout, fractionOf(grace, minAnswerFraction))
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
