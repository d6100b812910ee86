// Command fakebackend runs fake backend servers of a service, for tests.
package main

import (
	"os"

	"goldcreststand.example/fakebackend/internal/cmd"
	"goldcreststand.example/lib/cli"
)

func main() {
	cli.Main(cmd.New(os.Stdout, os.Stderr))
}
