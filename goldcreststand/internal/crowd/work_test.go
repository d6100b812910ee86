package crowd

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// callers keep their connections to instances open and send requests until their context ends.
type callers struct {
	ps    []*process
	tally *tally
	seed  uint64
	wg    sync.WaitGroup
}

// start starts a number of callers, each with its own random numbers.
func (c *callers) start(ctx context.Context, size int) {
	for n := range size {
		c.wg.Go(func() {
			rng := rand.New(rand.NewPCG(c.seed, uint64(n)))
			for serial := 0; ctx.Err() == nil; serial++ {
				c.useLink(ctx, rng, fmt.Sprintf("caller-%d-%d", n, serial))
			}
		})
	}
}

// useLink opens a link and sends requests on it until it ends.
func (c *callers) useLink(ctx context.Context, rng *rand.Rand, name string) {
	const downPause = 5 * time.Millisecond
	l, err := connect(c.ps[rng.IntN(len(c.ps))].calls, c.tally)
	if err != nil {
		time.Sleep(downPause)
		return
	}
	defer l.close()
	pipelines, once := rng.IntN(3) == 0, rng.IntN(8) == 0
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		rs := []*request{randomRequest(id, rng)}
		if pipelines {
			rs = randomPipeline(id, rng)
		}
		if !l.call(rs...) || once {
			time.Sleep(l.pause())
			return
		}
		select {
		case <-l.ended:
			return
		case <-time.After(max(l.pause(), randomGap(rng))):
		}
	}
}

// randomGap returns the time between a response and the next request. Some gaps are near the idle timeouts of the
// configurations, or near four fifths of them.
func randomGap(rng *rand.Rand) time.Duration {
	idle := crossingIdleTimeouts()[rng.IntN(3)]
	switch rng.IntN(6) {
	case 0:
		return 0
	case 1:
		return idle*4/5 + time.Duration(rng.IntN(30))*time.Millisecond
	case 2:
		return idle + time.Duration(rng.IntN(1100))*time.Millisecond
	default:
		return time.Duration(rng.IntN(40)) * time.Millisecond
	}
}

func crossingIdleTimeouts() []time.Duration {
	return []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, 15 * time.Second}
}

// operator changes the configuration and the settings.
type operator struct {
	d       deployment
	ps      []*process
	rng     *rand.Rand
	version int
}

// change makes one planned change.
func (o *operator) change(t *testing.T) {
	p := o.ps[o.rng.IntN(len(o.ps))]
	switch o.rng.IntN(6) {
	case 0:
		if err := p.cmd.Process.Signal(syscall.SIGHUP); !errors.Is(err, os.ErrProcessDone) {
			require.NoError(t, err)
		}
	case 1:
		b, err := os.ReadFile(p.settings)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(p.settings, append(b, '\n'), 0o600))
	default:
		o.putConfiguration()
	}
}

// putConfiguration writes a configuration with another idle timeout, and routes with other timeouts, kinds and weights.
func (o *operator) putConfiguration() {
	timeouts := crossingIdleTimeouts()
	cfg := crossingConfiguration(timeouts[o.rng.IntN(len(timeouts))])
	o.version++
	cfg["version"] = fmt.Sprintf("%08x", o.version)
	l := cfg["listeners"].([]any)[0].(map[string]any)
	safe := l["rules"].([]any)[0].(map[string]any)
	action := safe["action"].(map[string]any)
	if o.rng.IntN(4) == 0 {
		action["timeoutMs"] = 100
	}
	if o.rng.IntN(4) == 0 {
		safe["kind"] = "unsafe"
	}
	if o.rng.IntN(3) == 0 {
		delete(action, "service")
		action["weightedBackends"] = []any{
			map[string]any{"service": "svc", "weight": 1 + o.rng.IntN(9)}, map[string]any{"service": "other", "weight": 1 + o.rng.IntN(9)},
		}
	}
	if o.rng.IntN(2) == 0 {
		l["rules"] = append(l["rules"].([]any), rule("extra", "unsafe", extraPath))
	}
	o.d.store.put("config", "main", cfg)
}

// Guards against requests that are read and get no response around planned work: stops and starts of instances, signals,
// settings and configurations that change, in series and overlapping.
func TestRequestsCrossingPlannedWork(t *testing.T) {
	crossPlannedWork(t, func(*process, *rand.Rand) func() { return func() {} })
}

// Guards against the same in processes that are short of processor time, or that stand still around the signal or around the end of
// their grace time.
func TestRequestsCrossingPlannedWorkOfLateProcesses(t *testing.T) {
	crossPlannedWork(t, func(p *process, rng *rand.Rand) func() {
		release := p.throttle(time.Duration(10+rng.IntN(30))*time.Millisecond, time.Duration(20+rng.IntN(80))*time.Millisecond)
		if rng.IntN(2) == 0 {
			at := time.Duration(rng.IntN(2))*time.Duration(crossingGrace*800)*time.Millisecond + time.Duration(rng.IntN(100))*time.Millisecond
			length := time.Duration(50+rng.IntN(200)) * time.Millisecond
			timer := time.AfterFunc(at, func() { time.AfterFunc(length, p.suspend()) })
			return func() {
				timer.Stop()
				release()
			}
		}
		return release
	})
}

// crossPlannedWork stops and starts instances, and changes their configuration and settings, beside callers. The disturbance of a process
// begins before its stop, and the function that it returns is called when it has ended.
func crossPlannedWork(t *testing.T, disturb func(p *process, rng *rand.Rand) (end func())) {
	t.Helper()
	d, ps := newCrossing(t, 15*time.Second, 2, crossingGrace)
	for _, p := range ps {
		p.serve()
	}
	tl := newTally(t, d)
	ctx, cancel := context.WithCancel(t.Context())
	c := callers{ps: slices.Clone(ps), tally: tl, seed: *crossingSeed}
	c.start(ctx, *crossingConns)
	defer c.wg.Wait()
	defer cancel()
	rng := rand.New(rand.NewPCG(*crossingSeed, 1<<32))
	o := &operator{d: d, ps: ps, rng: rng, version: 1}
	for range *crossingCount {
		stopped := ps[:1+rng.IntN(len(ps))]
		var ends []func()
		for _, p := range stopped {
			ends = append(ends, disturb(p, rng))
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
		for range rng.IntN(5) {
			o.change(t)
			time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		}
		for n, p := range stopped {
			p.requireEnded()
			ends[n]()
			p.serve()
		}
		ps[0], ps[1] = ps[1], ps[0]
	}
	cancel()
	c.wg.Wait()
	tl.requireNoneLost()
}
