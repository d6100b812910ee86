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
	"goldcreststand.example/lib/header"
)

// Limits of a run.
const (
	// maxInflight is the largest number of calls in flight.
	maxInflight = 5000
	// maxIdleConnections is the largest number of idle connections to one instance.
	maxIdleConnections = 200
	// responseGrace is the time for which a call waits for its response after the deadline.
	responseGrace = 50 * time.Millisecond
)

// runner executes one run of a plan.
type runner struct {
	plan     Plan
	hc       *http.Client
	resolver *resolver
	rng      *rand.Rand
	// inflight is a semaphore that limits the calls in flight.
	inflight chan struct{}
	start    time.Time

	mu     sync.Mutex
	report *Report
}

// request describes one call. firstInstance selects the instance that is tried first.
type request struct {
	id            string
	write         bool
	tenant        ident.TenantName
	firstInstance int
}

// Run generates the load of the plan and reports the results. It stops early when the context is canceled.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	if err := plan.Validate(); err != nil {
		return nil, err
	}
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: 10 * time.Second}}
	defer hc.CloseIdleConnections()
	r := &runner{
		plan:     plan,
		hc:       hc,
		rng:      rand.New(rand.NewPCG(plan.Seed, 0)),
		inflight: make(chan struct{}, maxInflight),
		report:   newReport(),
	}
	r.resolver = &resolver{hc: hc, plan: &r.plan}
	if _, err := r.resolver.resolve(ctx); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	r.generate(ctx, &wg)
	wg.Wait()
	return r.report, nil
}

// generate starts calls at the plan's rate in an open loop: slow responses do not delay later calls.
func (r *runner) generate(ctx context.Context, wg *sync.WaitGroup) {
	r.start = time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var due time.Duration
	for n := 0; due < r.plan.Duration; n++ {
		timer.Reset(due - time.Since(r.start))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		q := r.nextRequest(n)
		select {
		case r.inflight <- struct{}{}:
			wg.Go(func() {
				defer func() { <-r.inflight }()
				r.call(ctx, q)
			})
		default:
			r.mu.Lock()
			r.report.NotMade++
			r.mu.Unlock()
		}
		due += time.Duration(r.rng.ExpFloat64() * float64(time.Second) / float64(r.plan.rateAt(due)))
	}
}

func (r *runner) nextRequest(n int) request {
	q := request{
		id:            fmt.Sprintf("%s-%x-%d", r.plan.Service, r.plan.Seed, n),
		write:         ident.Share(r.rng.Uint32N(uint32(ident.FullShare))) < r.plan.WriteShare,
		firstInstance: r.rng.IntN(1 << 20),
	}
	if len(r.plan.Tenants) > 0 {
		q.tenant = r.plan.Tenants[n%len(r.plan.Tenants)]
	}
	return q
}

// call makes one call. When an instance refuses the connection, the call was not executed and is sent to
// the next instance.
func (r *runner) call(ctx context.Context, q request) {
	start := time.Now()
	verdict := VerdictBroken
	addresses, err := r.resolver.resolve(ctx)
	for i := 0; err == nil && i < len(addresses); i++ {
		verdict, err = r.send(ctx, q, addresses[(q.firstInstance+i)%len(addresses)], start)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		r.resolver.expire()
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

func (r *runner) send(ctx context.Context, q request, address string, start time.Time) (Verdict, error) {
	remaining := r.plan.Timeout - time.Since(start)
	if remaining <= 0 {
		return VerdictLate, nil
	}
	ctx, cancel := context.WithTimeout(ctx, remaining+responseGrace)
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
	req.Header.Set("Request-Timeout", strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	req.Header.Set("Request-Id", q.id)
	if q.tenant != "" {
		req.Header.Set("Tenant", string(q.tenant))
	}
	resp, err := header.Checked(r.hc.Do(req))
	if err != nil {
		return verdictOfError(err), err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return verdictOfError(err), err
	}
	return verdictOfResponse(resp, method+" "+path, q.id, string(b)), nil
}

// verdictOfResponse compares a response with the one that fakebackend sends to the request.
func verdictOfResponse(resp *http.Response, requestLine, id, body string) Verdict {
	proxyStatus := resp.Header.Get("Proxy-Status")
	server, ok := strings.CutPrefix(body, requestLine+" "+id+" by ")
	// The line break ends the body: without it a part is missing.
	whole := ok && len(server) > 1 && strings.Index(server, "\n") == len(server)-1
	switch {
	case resp.StatusCode == http.StatusOK && whole:
		return VerdictComplete
	case strings.Contains(proxyStatus, "executed=no"):
		return VerdictRejected
	case strings.Contains(proxyStatus, "executed=unknown"):
		return VerdictUnknown
	case proxyStatus == "" && resp.StatusCode == http.StatusInternalServerError:
		return VerdictFailed
	default:
		return VerdictWrong
	}
}

func verdictOfError(err error) Verdict {
	var ne net.Error
	if errors.Is(err, context.DeadlineExceeded) || errors.As(err, &ne) && ne.Timeout() {
		return VerdictLate
	}
	return VerdictBroken
}
