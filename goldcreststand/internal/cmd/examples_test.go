package cmd_test

import (
	"bytes"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/goldcreststand/internal/cmd"
	"goldcreststand.example/lib/cli"
)

// Guards against sample settings that become invalid through a change of the schema.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/instance.toml")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, f := range files {
		var out, errs bytes.Buffer
		require.Equal(t, cli.ExitOK, cmd.New(&out, &errs).Run(t.Context(), []string{"check", "-settings", f}), errs.String())
	}
}
