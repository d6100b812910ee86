package hub

import (
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
)

// Guards against calls that are refused because servers that were listed within the lost time are missing after the store's return, until they
// have written their entries again, and against servers that are kept although they are still missing 2 s after it.
func TestServersOfLostTimeAreKeptAfterReturnOfStore(t *testing.T) {
	h := newHarness()
	h.storeEra, h.rev = 1, 50
	h.listAll()
	h.list(false, entry("s3", "v1"), entry("s4", "v1"))
	h.returnTo(30)
	h.list(true, entry("s1", "v1"), entry("s2", "v1"))
	stable, _ := h.pools()
	require.Len(t, stable, 4, "after the return")
	h.list(false, entry("s3", "v1"))
	h.wait(expiryGrace)
	stable, _ = h.pools()
	require.Equal(t, []ident.ServerID{"s1", "s2", "s3"}, stable)
}
