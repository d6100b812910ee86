package guard_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/lib/guard"
)

// Guards against a panic that ends the process, and against one that leaves no trace of its place.
func TestCall(t *testing.T) {
	var m map[string]int
	err := guard.Call(func() { m["x"] = 1 })
	require.True(t, guard.Error.Has(err))
	require.ErrorContains(t, err, "nil map")
	require.ErrorContains(t, err, "guard_test.go")
	require.NoError(t, guard.Call(func() {}))
}
