package fleet

import (
	"net/http"
	"sync"
)

// executed counts the executions of each request id over all servers.
type executed struct {
	mu       sync.Mutex
	byID     map[string]int
	repeated int64
	// doubled counts the repeats of requests whose method is not safe (RFC 9110, section 9.2.1).
	doubled int64
}

func newExecuted() *executed { return &executed{byID: make(map[string]int)} }

// add counts an execution. Requests without an id are not told apart.
func (e *executed) add(r *http.Request) {
	id := r.Header.Get(requestHeader)
	if id == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byID[id]++
	if e.byID[id] > 1 {
		e.repeated++
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			e.doubled++
		}
	}
}

// count returns the number of executions of the request id.
func (e *executed) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[id]
}

// repeats returns the executions beyond the first of all requests, and of those that are not safe.
func (e *executed) repeats() (all, doubled int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.repeated, e.doubled
}
