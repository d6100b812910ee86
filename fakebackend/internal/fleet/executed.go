package fleet

import "sync"

// executed counts the executions of each request id over all servers.
type executed struct {
	mu       sync.Mutex
	byID     map[string]int
	repeated int64
}

func newExecuted() *executed { return &executed{byID: make(map[string]int)} }

// add counts an execution. Requests without an id are not told apart.
func (e *executed) add(id string) {
	if id == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byID[id]++
	if e.byID[id] > 1 {
		e.repeated++
	}
}

// count returns the number of executions of the request id.
func (e *executed) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[id]
}

func (e *executed) repeats() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.repeated
}
