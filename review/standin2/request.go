package main

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"time"
)

// request is one attempt of a requester.
type request struct {
	ID, Method, Target, Plan string
	Unsafe                   bool
	Size, Resp               int
	DeadlineMs               int
}

// encode returns the bytes of the request.
func (x *request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Goldcreststand-Request-Id: %s\r\nX-Goldcreststand-Deadline-Ms: %d\r\nPlan: %s\r\n", x.Method, x.Target, x.ID, x.DeadlineMs, x.Plan)
	body := answerBody("req"+x.ID, x.Size)
	if x.Size > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// putConfig writes a config with a safe and an unsafe route to the service.
func putConfig(st *Store, version int, service string, timeoutMs int) {
	rule := func(name, kind, prefix string, priority int) any {
		return map[string]any{
			"name": name, "kind": kind, "targetLatencyMs": 250, "priority": priority, "match": map[string]string{"pathPrefix": prefix},
			"action": map[string]any{"service": service, "timeoutMs": timeoutMs, "maxAttempts": 2},
		}
	}
	st.Put("config", "main", map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"listeners": []any{map[string]any{"host": "ficu95.example", "rules": []any{rule("r-safe", "safe", "/s/", 2), rule("r-unsafe", "unsafe", "/u/", 1)}}},
		"clusters":  []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 240, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 15.0}},
	})
}

// record is the file of what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{f: f, start: time.Now()}
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// sum writes a line to the record and to standard output.
func (r *record) sum(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}
