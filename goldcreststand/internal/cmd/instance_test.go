package cmd

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/goldcreststand/internal/hub"
)

// Guards against a planned stop that ends without a shutdown, so that calls which were read are cut off, because control takes no
// event: control may stand still for as long as the grace time.
func TestLeaveAnswersCallsThoughControlTakesNoEvent(t *testing.T) {
	_, store := newTestStore(t)
	s := newSite(t, store, new(transcript))
	s.inst.settings.Bounds.Grace = 2
	fillCtx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	for s.inst.loop.Post(fillCtx, hub.PingReceived{}) == nil {
	}
	require.NoError(t, s.inst.listen(t.Context(), make(chan error, maxListeners)))
	c := startKeptCallers(t, s.inst.settings.Listen.Traffic.String())
	start := time.Now()
	err := s.inst.leave()
	took := time.Since(start)
	c.cutOff()
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Zero(t, c.lost.Load())
	require.Less(t, took, 2*time.Second)
}
