package crowd

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Flags for longer runs by hand.
var (
	crossingSeed  = flag.Uint64("crossing.seed", 1, "seed of the tests of requests that cross closes")
	crossingCount = flag.Int("crossing.count", 5, "number of closes, or of planned changes, in each of these tests")
	crossingConns = flag.Int("crossing.conns", 300, "number of connections in each of these tests")
	crossingEnv   = flag.String("crossing.env", "", "variable of the environment of the instances in these tests")
)

// crossingGrace is the time in seconds between SIGTERM and SIGKILL in most of these tests.
const crossingGrace = 1.2

// maxCrossingDelay is the largest time between the first close and a request that is to cross another one.
const maxCrossingDelay = 2 * time.Millisecond

// idleLinks is a number of idle links that send a request each when the first of them has ended.
type idleLinks struct {
	links []*link
	// first is closed when the first link has ended.
	first chan struct{}
	once  sync.Once
}

// openIdleLinks opens links and gets a response on each of them.
func openIdleLinks(p *process, t *tally, size int, name string) *idleLinks {
	f := &idleLinks{first: make(chan struct{})}
	var mu sync.Mutex
	var wg sync.WaitGroup
	// Dials are limited so that the queue of the listener does not overflow.
	slots := make(chan struct{}, 16)
	for n := range size {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			l, err := connect(p.calls, t)
			if err != nil || !l.call(newRequest(fmt.Sprintf("%s-%d-first", name, n), http.MethodGet, safePath, 0, 0)) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			f.links = append(f.links, l)
		})
	}
	wg.Wait()
	return f
}

// begin lets the links send their requests.
func (f *idleLinks) begin() { f.once.Do(func() { close(f.first) }) }

// cross sends the requests and waits until all links have ended. Links that have ended before do not count as the first.
func (f *idleLinks) cross(name string, rng *rand.Rand) {
	var wg sync.WaitGroup
	for n, l := range f.links {
		if l.hasEnded() {
			continue
		}
		delay, id := time.Duration(rng.Int64N(int64(maxCrossingDelay))), fmt.Sprintf("%s-%d", name, n)
		rs := []*request{randomRequest(id, rng)}
		if rng.IntN(4) == 0 {
			rs = randomPipeline(id, rng)
		}
		wg.Go(func() {
			defer l.close()
			select {
			case <-l.ended:
				f.begin()
				return
			case <-f.first:
			}
			time.Sleep(delay)
			l.call(rs...)
		})
	}
	wg.Wait()
}

// randomRequest returns a safe request without a body, or an unsafe one with a short or a longer body.
func randomRequest(id string, rng *rand.Rand) *request {
	work := time.Duration(1+rng.IntN(20)) * time.Millisecond
	if rng.IntN(8) == 0 {
		work *= 10
	}
	switch rng.IntN(4) {
	case 0:
		return newRequest(id, http.MethodPost, unsafePath, work, 1+rng.IntN(200))
	case 1:
		return newRequest(id, http.MethodPost, unsafePath, work, 5000+rng.IntN(60000))
	default:
		return newRequest(id, http.MethodGet, safePaths()[rng.IntN(2)], work, 0)
	}
}

// randomPipeline returns safe requests that are sent in one piece.
func randomPipeline(id string, rng *rand.Rand) []*request {
	rs := make([]*request, 2+rng.IntN(3))
	for n := range rs {
		work := time.Duration(1+rng.IntN(60)) * time.Millisecond
		rs[n] = newRequest(fmt.Sprintf("%s-%d", id, n), http.MethodGet, safePaths()[rng.IntN(2)], work, 0)
	}
	return rs
}

// crossingConfiguration returns a configuration with a route for safe calls and one for others.
func crossingConfiguration(idleTimeout time.Duration) map[string]any {
	cfg := configuration(maxBody)
	cfg["limits"].(map[string]any)["idleTimeoutMs"] = idleTimeout.Milliseconds()
	for _, c := range cfg["clusters"].([]any) {
		c := c.(map[string]any)
		c["maxConns"], c["warmupPerS"] = 2000, 5000
	}
	l := cfg["listeners"].([]any)[0].(map[string]any)
	l["rules"] = append(l["rules"].([]any), rule("order", "unsafe", unsafePath))
	return cfg
}

// newCrossing prepares instances with room for all callers of a test.
func newCrossing(t *testing.T, idleTimeout time.Duration, instances int, grace float64) (deployment, []*process) {
	d := newDeployment(t, crossingConfiguration(idleTimeout), 400)
	d.grace = grace
	out := make([]*process, instances)
	for n := range out {
		out[n] = prepare(t, limits{memoryMB: 512, maxFiles: 4100, maxBody: maxBody}, d)
		if *crossingEnv != "" {
			out[n].env = append(out[n].env, *crossingEnv)
		}
	}
	return d, out
}

// Guards against requests that are read when the idle timeout of their connection has passed, and get no response because it
// closes at this moment.
func TestRequestsCrossingIdleTimeout(t *testing.T) {
	d, ps := newCrossing(t, 300*time.Millisecond, 1, crossingGrace)
	ps[0].serve()
	rng, tl := rand.New(rand.NewPCG(*crossingSeed, 0)), newTally(t, d)
	for n := range *crossingCount {
		name := fmt.Sprintf("idle-%d", n)
		openIdleLinks(ps[0], tl, *crossingConns, name).cross(name, rng)
	}
	tl.requireNoneLost()
}

// Guards against requests that get no response, long after they were sent, because a process without processor time reads them
// together with the check for idle connections.
func TestRequestsCrossingIdleTimeoutOfLateProcess(t *testing.T) {
	const late = 450 * time.Millisecond
	d, ps := newCrossing(t, 300*time.Millisecond, 1, crossingGrace)
	p := ps[0]
	p.serve()
	rng, tl := rand.New(rand.NewPCG(*crossingSeed, 0)), newTally(t, d)
	probe := openIdleLinks(p, tl, 1, "probe")
	require.Len(t, probe.links, 1)
	<-probe.links[0].ended
	check := time.Now()
	for n := range *crossingCount {
		for check = check.Add(time.Second); check.Before(time.Now()); {
			check = check.Add(time.Second)
		}
		name := fmt.Sprintf("late-%d", n)
		f := openIdleLinks(p, tl, *crossingConns, name)
		time.Sleep(time.Until(check.Add(-late * 3 / 4)))
		resume := p.suspend()
		time.AfterFunc(late, resume)
		f.begin()
		f.cross(name, rng)
	}
	tl.requireNoneLost()
}

// Guards against requests that are read while an instance that was asked to end closes its idle connections, and get no
// response.
func TestRequestsCrossingShutdown(t *testing.T) {
	crossStops(t, func(*process) func() { return func() {} })
}

// Guards against a planned stop that has no time left for the requests that were read, because the process is short of processor
// time.
func TestRequestsCrossingShutdownOfLateProcess(t *testing.T) {
	crossStops(t, func(p *process) func() { return p.throttle(30*time.Millisecond, 70*time.Millisecond) })
}

// crossStops tests that each request is answered that an instance has read when it closes its idle connections. The disturbance
// begins before each stop, and the function that it returns ends it.
func crossStops(t *testing.T, disturb func(p *process) (end func())) {
	t.Helper()
	d, ps := newCrossing(t, 15*time.Second, 1, crossingGrace)
	p := ps[0]
	rng, tl := rand.New(rand.NewPCG(*crossingSeed, 0)), newTally(t, d)
	for n := range *crossingCount {
		p.serve()
		name := fmt.Sprintf("stop-%d", n)
		f := openIdleLinks(p, tl, *crossingConns, name)
		end := disturb(p)
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
		f.cross(name, rng)
		p.requireEnded()
		end()
	}
	tl.requireNoneLost()
}

// Guards against a process that SIGPIPE ends, with the calls in flight, when the reader of its log has ended.
func TestEndOfLogReaderDoesNotEndTheProcess(t *testing.T) {
	p := prepare(t, limits{memoryMB: 136, maxFiles: 2870, maxBody: maxBody}, newDeployment(t, configuration(maxBody), 4))
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer func() { _ = w.Close() }()
	p.output = w
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		_, _ = io.Copy(io.Discard, r)
	}()
	p.serve()
	require.NoError(t, r.Close())
	<-drained
	for range 5 {
		// Each signal is logged.
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
		time.Sleep(200 * time.Millisecond)
		p.requireOrdinaryCall()
	}
	p.requireCleanEnd()
}
