package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// answer is what a requester saw of one request.
type answer struct {
	id, route, instance string
	sent, got           time.Time
	// status is 0 if the connection ended without an answer.
	status int
	signed bool
	// kept reports that the connection was used before, timedOut that the requester gave up.
	kept, timedOut bool
	err            error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// requesters sends requests at a steady rate to each instance, and keeps what was answered.
type requesters struct {
	d      *deployment
	host   string
	client *http.Client

	mu      sync.Mutex
	answers []answer
	wg      sync.WaitGroup
}

func newRequesters(d *deployment, host string) *requesters {
	return &requesters{d: d, host: host, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}}
}

// send sends requests of one route to one instance at random times, the given gap apart on average, until the context ends.
func (q *requesters) send(ctx context.Context, i *instance, method, prefix string, limit, gap time.Duration) {
	q.wg.Go(func() {
		for {
			select {
			case <-time.After(time.Duration(min(5, rand.ExpFloat64()) * float64(gap))):
				q.wg.Go(func() { q.one(i, method, prefix, limit) })
			case <-ctx.Done():
				return
			}
		}
	})
}

func (q *requesters) one(i *instance, method, prefix string, limit time.Duration) {
	a := answer{id: newID(), route: prefix, instance: i.name}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader(make([]byte, 300))
	}
	trace := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { a.kept = c.Reused }})
	r, err := http.NewRequestWithContext(trace, method, "http://"+q.d.addr(i.ip, "front")+prefix+"2f", body)
	if err != nil {
		panic(err)
	}
	// Without GetBody the client library sends a request once only.
	r.GetBody = nil
	r.Host = q.host
	r.Header.Set("X-Goldcreststand-Request-Id", a.id)
	r.Header.Set("X-Goldcreststand-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	a.sent = time.Now()
	resp, err := q.client.Do(r)
	if err == nil {
		a.status, a.signed = resp.StatusCode, resp.Header.Get("X-Goldcreststand-Response-Signature") != ""
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	a.got, a.err, a.timedOut = time.Now(), err, ctx.Err() != nil
	q.d.rec.printf("request %s on %s sent to %s at %.3f: status %d, signed %v, error %v", a.id, prefix, i.name, a.sent.Sub(q.d.rec.start).Seconds(), a.status, a.signed, err)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answers = append(q.answers, a)
}
