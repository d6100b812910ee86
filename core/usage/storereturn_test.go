package usage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against reports that are lost, doubled or sent by two holders, and against falling tokens, because the store has returned to a copy
// from before the holder's claim or its last writes.
func TestReportsAcrossReturnOfStore(t *testing.T) {
	tests := []struct {
		name string
		// before happens when the copy is taken, and after when the store has returned to it.
		before, after func(t *testing.T, w *world)
		late          bool
	}{
		{name: "calm"},
		{name: "holder dies in the lost time", before: func(t *testing.T, w *world) { w.kill(w.holder(t)) }, late: true},
		{name: "holder leaves in the lost time", before: func(t *testing.T, w *world) {
			n := w.holder(t)
			w.handle(n, Leave{At: w.time(n)})
		}, late: true},
		{name: "second return", after: func(_ *testing.T, w *world) {
			e, rev := w.entry, w.revision
			w.run(2 * time.Second)
			w.returnTo(e, rev)
		}},
	}
	for _, tt := range tests {
		for _, age := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, 12 * time.Second} {
			t.Run(fmt.Sprintf("%s/%s", tt.name, age), func(t *testing.T) {
				for offset := time.Duration(0); offset < 5*time.Second; offset += 3 * tickTime {
					w := newWorld(3, rand.New(rand.NewPCG(uint64(offset), uint64(age))).IntN)
					w.era, w.noRevisions = 1, offset%(2*tickTime) > 0
					w.run(30*time.Second + offset)
					e, rev := w.entry, w.revision
					if tt.before != nil {
						tt.before(t, w)
					}
					w.run(age)
					w.returnTo(e, rev)
					if tt.after != nil {
						tt.after(t, w)
					}
					w.run(40 * time.Second)
					require.NoError(t, w.fault, "offset %v", offset)
					if !tt.late {
						w.requireOnTime(t)
					}
					at := w.reportedAt()
					for k := testSettings().WindowAt(wallStart); k < testSettings().WindowAt(wallStart+w.now-20*time.Second); k++ {
						require.Contains(t, at, k, "offset %v", offset)
					}
				}
			})
		}
	}
}
