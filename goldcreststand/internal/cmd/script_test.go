package cmd_test

import (
	"context"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"goldcreststand.example/goldcreststand/internal/cmd"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"goldcreststand": func() {
			os.Exit(cmd.New(os.Stdout, os.Stderr).Run(context.Background(), os.Args[1:]))
		},
	})
}

// TestScripts checks the output and exit codes that operators rely on.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
