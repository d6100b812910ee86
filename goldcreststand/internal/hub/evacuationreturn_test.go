package hub

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/store"
)

// Guards against calls to an evacuated failure domain after the store's return to a copy from before the evacuation, until the operator
// has written it again, and against a domain that stays out of service although the operator took its evacuation back.
func TestEvacuationOutlastsReturnOfStore(t *testing.T) {
	tests := []struct {
		name string
		// next is what the store reports after the list that lacks the evacuation.
		next func(h *harness)
		// after is the time from next to the check of whether the domain is in use.
		after time.Duration
		inUse bool
	}{
		{name: "nothing is written", next: func(*harness) {}, after: reaffirmTime - time.Second},
		{name: "nothing is written for long", next: func(*harness) {}, after: reaffirmTime, inUse: true},
		{name: "listed again", next: func(h *harness) { h.evacuate(true) }, after: time.Second},
		{name: "written again", next: func(h *harness) { h.evacuate(false, "d1") }, after: 2 * reaffirmTime},
		{name: "written again and listed", next: func(h *harness) { h.evacuate(true, "d1") }, after: 2 * reaffirmTime},
		{name: "written again and taken back", next: func(h *harness) {
			h.evacuate(false, "d1")
			h.evacuate(true)
		}, inUse: true},
		{name: "taken back", next: func(h *harness) {
			h.rev++
			h.apply(EvacuationsUpdate{store.Batch[ident.DomainName]{Removed: []string{"d1"}, AsOf: h.at()}})
		}, inUse: true},
		{name: "second return", next: func(h *harness) {
			h.returnTo(20)
			h.evacuate(true)
		}, after: reaffirmTime - time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness()
			h.storeEra, h.rev = 1, 50
			h.listAll()
			h.evacuate(false, "d1")
			h.returnTo(30)
			h.evacuate(true)
			stable, _ := h.pools()
			require.Empty(t, stable, "after the return")
			tt.next(h)
			h.wait(tt.after)
			stable, _ = h.pools()
			require.Equal(t, tt.inUse, len(stable) > 0)
		})
	}
}
