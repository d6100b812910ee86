package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"goldcreststand.example/core/ident"
)

// Bounds of a run.
const (
	// maxInflight bounds the calls in flight.
	maxInflight = 5000
	// idleConnections bounds the idle connections to one instance.
	idleConnections = 200
	// grace is the time after its deadline for which a call waits for its response.
	grace = 50 * time.Millisecond
)

// runner is one run of a plan.
type runner struct {
	plan Plan
	hc   *http.Client
	dir  *directory
	rng  *rand.Rand
	// slots bounds the calls in flight.
	slots chan struct{}
	start time.Time

	mu     sync.Mutex
	report *Report
}

// request is one call to make.
type request struct {
	id     string
	write  bool
	tenant ident.TenantName
	first  int
}

// Run puts the load on the service and reports how the calls ended. It stops early when the context
// ends.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: 10 * time.Second}}
	defer hc.CloseIdleConnections()
	r := &runner{
		plan:   plan,
		hc:     hc,
		rng:    rand.New(rand.NewPCG(plan.Seed, 0)),
		slots:  make(chan struct{}, maxInflight),
		report: newReport(),
	}
	r.dir = &directory{hc: hc, plan: &r.plan}
	if _, err := r.dir.get(ctx); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	r.generate(ctx, &wg)
	wg.Wait()
	return r.report, nil
}

// generate starts calls at the plan's rate, in open loop: late responses do not delay later calls.
func (r *runner) generate(ctx context.Context, wg *sync.WaitGroup) {
	r.start = time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var due time.Duration
	for n := 0; due < r.plan.Time; n++ {
		timer.Reset(due - time.Since(r.start))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		q := r.next(n)
		select {
		case r.slots <- struct{}{}:
			wg.Go(func() {
				defer func() { <-r.slots }()
				r.call(ctx, q)
			})
		default:
			r.mu.Lock()
			r.report.Missed++
			r.mu.Unlock()
		}
		due += time.Duration(r.rng.ExpFloat64() * float64(time.Second) / float64(r.plan.rateAt(due)))
	}
}

func (r *runner) next(n int) request {
	q := request{
		id:    fmt.Sprintf("%s-%x-%d", r.plan.Service, r.plan.Seed, n),
		write: ident.Share(r.rng.Uint32N(uint32(ident.FullShare))) < r.plan.Writes,
		first: r.rng.IntN(1 << 20),
	}
	if len(r.plan.Tenants) > 0 {
		q.tenant = r.plan.Tenants[n%len(r.plan.Tenants)]
	}
	return q
}

// call makes one call. Like any caller it goes to the next instance when a connection is refused,
// because then the call was not executed.
func (r *runner) call(ctx context.Context, q request) {
	start := time.Now()
	verdict := VerdictBroken
	addresses, err := r.dir.get(ctx)
	for i := 0; err == nil && i < len(addresses); i++ {
		verdict, err = r.try(ctx, q, addresses[(q.first+i)%len(addresses)], start)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		r.dir.expire()
		err = nil
	}
	class := "reads"
	if q.write {
		class = "writes"
	}
	if q.tenant != "" {
		class = string(q.tenant) + " " + class
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.add(class, verdict, start.Sub(r.start), time.Since(start))
}

func (r *runner) try(ctx context.Context, q request, address string, start time.Time) (Verdict, error) {
	left := r.plan.Timeout - time.Since(start)
	if left <= 0 {
		return VerdictLate, nil
	}
	ctx, cancel := context.WithTimeout(ctx, left+grace)
	defer cancel()
	method := http.MethodGet
	if q.write {
		method = http.MethodPost
	}
	path := "/items/" + q.id
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return VerdictBroken, err
	}
	req.Host = string(r.plan.Service)
	req.Header.Set("Request-Timeout", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	req.Header.Set("Request-Id", q.id)
	if q.tenant != "" {
		req.Header.Set("Tenant", string(q.tenant))
	}
	resp, err := r.hc.Do(req)
	if err != nil {
		return verdictOf(err), err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return verdictOf(err), err
	}
	return judge(resp, method+" "+path, string(b)), nil
}

// judge compares a response with what the stand-in of a backend server answers to the request.
func judge(resp *http.Response, want, body string) Verdict {
	status := resp.Header.Get("Proxy-Status")
	switch {
	case resp.StatusCode == http.StatusOK && strings.HasPrefix(body, want+" "):
		return VerdictComplete
	case strings.Contains(status, "executed=no"):
		return VerdictRejected
	case strings.Contains(status, "executed=unknown"):
		return VerdictUnknown
	case status == "" && resp.StatusCode == http.StatusInternalServerError:
		return VerdictFailed
	default:
		return VerdictWrong
	}
}

func verdictOf(err error) Verdict {
	var ne net.Error
	if errors.Is(err, context.DeadlineExceeded) || errors.As(err, &ne) && ne.Timeout() {
		return VerdictLate
	}
	return VerdictBroken
}
