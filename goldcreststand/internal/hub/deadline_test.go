package hub

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/store"
)

// Guards against a service that is refused for good after all processes were restarted, because a rollout whose end the store has
// lost is rolled back at its deadline although the servers of the other versions have stopped.
func TestOnlyVersionIsNotRolledBackAtDeadline(t *testing.T) {
	leaving := entry("s1", "v1")
	leaving.Server.Draining = true
	tests := []struct {
		name string
		// listed are the servers at the start, and later those that are listed 1 s after it.
		listed, later []roster.ServiceServer
		want          canary.Phase
	}{
		{name: "others have stopped", want: canary.PhaseDone},
		{name: "others leave", listed: []roster.ServiceServer{leaving}, want: canary.PhaseDone},
		{name: "others are left", listed: []roster.ServiceServer{entry("s1", "v1")}, want: canary.PhaseReverted},
		{name: "others are listed late", later: []roster.ServiceServer{entry("s1", "v1")}, want: canary.PhaseReverted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness()
			h.rev++
			o := &canary.RolloutOrder{
				Service: testService, Attempt: 1, Version: "v2", Duration: 16 * time.Second, Age: 20 * time.Second, HasPhase: true, Phase: canary.PhaseWhole,
			}
			h.apply(OrdersUpdate{store.Batch[*canary.RolloutOrder]{
				Complete: true, AsOf: h.at(), Objects: []store.Object[*canary.RolloutOrder]{{Name: string(testService), Revision: h.rev, Value: o}},
			}})
			h.list(true, append(tt.listed, entry("s2", "v2"))...)
			out := h.wait(time.Second)
			h.list(false, tt.later...)
			out = append(out, h.wait(4*time.Second)...)
			writes := actionsOf[WriteProgress](out)
			require.Len(t, writes, 1)
			require.Equal(t, tt.want, writes[0].Order.Phase)
			if tt.want == canary.PhaseDone {
				_, trial := h.pools()
				require.Equal(t, []ident.ServerID{"s2"}, trial)
			}
		})
	}
}
