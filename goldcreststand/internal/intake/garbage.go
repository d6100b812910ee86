package intake

import (
	"context"
	"runtime"

	"goldcreststand.example/core/ident"
)

// batch becomes unreachable at once. The collection that frees it also frees what was garbage before. The pointer keeps the runtime
// from putting it into one block with other small objects.
type batch struct{ _ *Gate }

// watchGarbage counts garbage until the collector has freed it, and asks for a collection when one is due. On a machine whose
// processors are busy a collection may take over 100 ms, in which the heap grows beyond its limit: 70 MB of 64 were seen. The
// caller holds the lock.
func (g *Gate) watchGarbage() {
	if n := g.budget.NextBatch(); n > 0 {
		runtime.AddCleanup(new(batch), g.collected, n)
	}
	if g.collecting || !g.budget.CollectionDue() {
		return
	}
	g.collecting = true
	g.collect <- struct{}{}
}

// collected notes that a batch was freed.
func (g *Gate) collected(n ident.Bytes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Collected(n)
}

// runCollector runs the garbage collector when it is asked for, until the context ends.
func (g *Gate) runCollector(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-g.collect:
			runtime.GC()
			g.mu.Lock()
			g.collecting = false
			g.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}
