package fleet

import (
	"net/http"
	"sync"
)

// executionCounter counts the executions of each request id over all servers.
type executionCounter struct {
	mu       sync.Mutex
	byID     map[string]int
	repeated int64
	// repeatedUnsafe counts repeated executions of requests whose method is not safe (RFC 9110, section 9.2.1).
	repeatedUnsafe int64
}

func newExecutionCounter() *executionCounter { return &executionCounter{byID: make(map[string]int)} }

// add counts an execution. Requests without an id are not counted.
func (e *executionCounter) add(r *http.Request) {
	id := r.Header.Get(requestIDHeader)
	if id == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byID[id]++
	if e.byID[id] > 1 {
		e.repeated++
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			e.repeatedUnsafe++
		}
	}
}

// count returns the number of executions of the request with the id.
func (e *executionCounter) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[id]
}

// repeats returns the number of executions after the first one of each request, for all requests and for
// those whose method is not safe.
func (e *executionCounter) repeats() (all, repeatedUnsafe int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.repeated, e.repeatedUnsafe
}
