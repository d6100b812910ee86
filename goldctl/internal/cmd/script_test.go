package cmd_test

import (
	"context"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"goldcreststand.example/fakeplatform/server"
	"goldcreststand.example/goldctl/internal/cmd"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"goldctl": func() { os.Exit(cmd.New(os.Stdout, os.Stderr).Run(context.Background(), os.Args[1:])) },
	})
}

// Guards against changes of exit codes and output that operators rely on.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			srv := httptest.NewServer(server.New(clockwork.NewRealClock()))
			e.Defer(srv.Close)
			e.Vars = append(e.Vars, "PLATFORM="+srv.URL)
			return nil
		},
	})
}
