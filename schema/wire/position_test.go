package wire

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/store"
)

// Guards against a position that changes on its way to another instance, and against an instance of an earlier version that gets all objects
// with each poll, because it does not name the era.
func TestWantedPosition(t *testing.T) {
	for _, known := range []store.Position{{}, {Revision: 7}, {Era: 3, Revision: 7}} {
		raw, err := json.Marshal(WantFrom("config", known))
		require.NoError(t, err)
		var got Want
		require.NoError(t, json.Unmarshal(raw, &got))
		require.Equal(t, known, got.Position(5), "%s", raw)
	}
	var old Want
	require.NoError(t, json.Unmarshal([]byte(`{"kind":"config","known":7}`), &old))
	require.Equal(t, store.Position{Era: 5, Revision: 7}, old.Position(5))
}
