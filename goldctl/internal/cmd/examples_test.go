package cmd_test

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/goldctl/internal/cmd"
	"goldcreststand.example/lib/cli"
)

// Guards against example sheets that become invalid when the rules for tables change.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/*.csv")
	require.NoError(t, err)
	require.Len(t, files, 4)
	for _, f := range files {
		var out, errs bytes.Buffer
		service := strings.TrimSuffix(filepath.Base(f), ".csv")
		require.Equal(t, cli.ExitOK, cmd.New(&out, &errs).Run(t.Context(), []string{"check", "-service", service, "-file", f}), errs.String())
	}
}
