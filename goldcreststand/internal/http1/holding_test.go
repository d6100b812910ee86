package http1_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/budget"
	"goldcreststand.example/goldcreststand/internal/http1"
)

// account is a budget with one account, which refuses some items and records what is held.
type account struct {
	mu      sync.Mutex
	refused map[budget.Item]bool
	noAhead atomic.Bool
	held    map[budget.Item]int64
	calls   int
}

var (
	_ http1.Budget  = (*account)(nil)
	_ http1.Account = (*account)(nil)
)

func newAccount(refused ...budget.Item) *account {
	a := &account{refused: make(map[budget.Item]bool), held: make(map[budget.Item]int64)}
	for _, i := range refused {
		a.refused[i] = true
	}
	return a
}

func (a *account) Account(net.Conn) http1.Account { return a }

func (a *account) Take(item budget.Item, n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.refused[item] {
		a.held[item] += n
	}
	return !a.refused[item]
}

func (a *account) Charge(item budget.Item, n int64) { a.Take(item, n) }

func (a *account) Return(item budget.Item, n int64) { a.Take(item, -n) }

func (a *account) MayReadAhead() bool { return !a.noAhead.Load() }

func (a *account) BeginCall() { a.add(1) }

func (a *account) EndCall() { a.add(-1) }

func (a *account) add(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls += n
}

// of returns what is held of an item.
func (a *account) of(item budget.Item) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held[item]
}

// requireEmpty requires that nothing is held.
func (a *account) requireEmpty(t *testing.T) {
	require.Eventually(t, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, n := range a.held {
			if n != 0 {
				return false
			}
		}
		return a.calls == 0
	}, timeout, time.Millisecond)
}

// Guards against a call without memory that is executed although its caller is told otherwise, and against one that ends
// without an answer.
func TestCallWithoutRoomIsRefused(t *testing.T) {
	var executed atomic.Bool
	a := newAccount(budget.ItemHead)
	c := newCaller(t, handler(func(http.ResponseWriter, *http.Request) { executed.Store(true) }), http1.WithBudget(a))
	c.send("POST /unsafe/1 HTTP/1.1\nHost: a\nContent-Length: 5\n\nbody")
	resp, _ := c.next()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.True(t, resp.Close)
	require.False(t, executed.Load())
	_ = c.Close()
	a.requireEmpty(t)
}

// Guards against a long head that grows without a bound, and against buffers that are not given back.
func TestLongHeadCounts(t *testing.T) {
	head := "GET /safe/1 HTTP/1.1\nHost: a\nLong: " + strings.Repeat("x", 10<<10) + "\n\n"
	a := newAccount()
	var held atomic.Int64
	c := newCaller(t, handler(func(http.ResponseWriter, *http.Request) { held.Store(a.of(budget.ItemHead)) }), http1.WithBudget(a))
	c.send("%s", head)
	c.bodies(1)
	lines := int64(strings.Count(head, "\n"))
	require.GreaterOrEqual(t, held.Load(), int64(budget.ItemCall.Cost(1)+budget.ItemField.Cost(lines))+int64(len(head)))
	c.get("/safe/2")
	c.bodies(1)
	a.requireEmpty(t)

	a = newAccount(budget.ItemHead)
	c = newCaller(t, handler(echo), http1.WithBudget(a))
	c.send("%s", head[:8<<10])
	resp, _ := c.next()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
}

// Guards against requests that are read ahead under pressure, and against a connection that then hangs.
func TestNothingIsReadAheadUnderPressure(t *testing.T) {
	a, m := newAccount(), new(http1.Metrics)
	a.noAhead.Store(true)
	c := newCaller(t, handler(echo), http1.WithBudget(a), http1.WithMetrics(m))
	c.get("/safe/1", "/safe/2", "/unsafe/3")
	require.Equal(t, []string{"/safe/1", "/safe/2", "/unsafe/3"}, c.bodies(3))
	require.Zero(t, m.ReadAhead.Value())
	a.requireEmpty(t)
}

// Guards against memory of calls that is not given back when their connection ends early.
func TestHoldingsEndWithTheConnection(t *testing.T) {
	a := newAccount()
	started := make(chan struct{}, 3)
	c := newCaller(t, handler(func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
	}), http1.WithBudget(a))
	c.get("/safe/1", "/safe/2", "/safe/3")
	for range 3 {
		receive(t, started)
	}
	require.Positive(t, a.of(budget.ItemHead))
	require.Positive(t, a.of(budget.ItemAhead))
	_ = c.Close()
	a.requireEmpty(t)
}

// Guards against a request whose body is still arriving and counts as work, so that a caller that stops cannot be closed.
func TestRequestIsWorkOnceItHasArrived(t *testing.T) {
	a := newAccount()
	working := func() int {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.calls
	}
	read, release := make(chan struct{}), make(chan struct{})
	c := newCaller(t, handler(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, 4))
		read <- struct{}{}
		_, _ = io.Copy(io.Discard, r.Body)
		w.(interface{ BodyRead() }).BodyRead()
		read <- struct{}{}
		<-release
	}), http1.WithBudget(a))
	c.send("POST /unsafe/1 HTTP/1.1\nHost: a\nContent-Length: 8\n\nbody")
	receive(t, read)
	require.Zero(t, working())
	c.send("body")
	receive(t, read)
	require.Equal(t, 1, working())
	close(release)
	c.bodies(1)
	a.requireEmpty(t)
}
