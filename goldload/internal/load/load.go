// Package load calls a service through goldcreststand and measures the responses.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"goldcreststand.example/schema/wire"
)

// Plan says what load to put on a service.
type Plan struct {
	// Instance is the traffic address of any instance.
	Instance string
	Service  string
	// Rate is in calls per second.
	Rate    int
	Time    time.Duration
	Timeout time.Duration
}

// Report counts the outcomes of a run. Latencies are in microseconds.
type Report struct {
	Calls    int
	Complete int
	Rejected int
	Failed   int
	Latency  *hdrhistogram.Histogram
}

// runner is one run of a plan.
type runner struct {
	plan    Plan
	hc      *http.Client
	entries []string

	mu     sync.Mutex
	report Report
}

// Run puts the load on the service and reports the outcomes.
func Run(ctx context.Context, plan Plan) (Report, error) {
	r := &runner{plan: plan, hc: &http.Client{Timeout: plan.Timeout}}
	r.report.Latency = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	if err := r.lookup(ctx); err != nil {
		return r.report, err
	}
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(plan.Rate))
	defer ticker.Stop()
	end := time.After(plan.Time)
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
			wg.Go(func() { r.call(ctx, i) })
			continue
		case <-end:
		case <-ctx.Done():
		}
		break
	}
	wg.Wait()
	return r.report, nil
}

// String returns the report as a short text.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "calls %d, complete %d, rejected %d, failed %d\n", r.Calls, r.Complete, r.Rejected, r.Failed)
	for _, q := range []float64{50, 90, 99, 99.9} {
		fmt.Fprintf(&b, "p%v %v\n", q, time.Duration(r.Latency.ValueAtQuantile(q))*time.Microsecond)
	}
	return b.String()
}

func (r *runner) lookup(ctx context.Context) error {
	url := "http://" + r.plan.Instance + "/.well-known/goldcreststand/entries?service=" + r.plan.Service
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := r.hc.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var e wire.Entries
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		return err
	}
	for _, a := range e.Addresses {
		r.entries = append(r.entries, a.String())
	}
	if len(r.entries) == 0 {
		return fmt.Errorf("no instance serves %s", r.plan.Service)
	}
	return nil
}

func (r *runner) call(ctx context.Context, i int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.entries[i%len(r.entries)]+"/item/"+strconv.Itoa(i), nil)
	if err != nil {
		return
	}
	req.Host = r.plan.Service
	req.Header.Set("Request-Timeout", strconv.FormatInt(r.plan.Timeout.Milliseconds(), 10))
	start := time.Now()
	resp, err := r.hc.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	d := time.Since(start)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Calls++
	switch {
	case err != nil:
		r.report.Failed++
	case resp.StatusCode == http.StatusOK:
		r.report.Complete++
		_ = r.report.Latency.RecordValue(d.Microseconds())
	case resp.StatusCode == http.StatusServiceUnavailable:
		r.report.Rejected++
	default:
		r.report.Failed++
	}
}
