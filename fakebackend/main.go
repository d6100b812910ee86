// Command fakebackend stands in for the backend servers of a service in tests.
package main

import (
	"os"

	"goldcreststand.example/fakebackend/internal/cmd"
	"goldcreststand.example/lib/cli"
)

func main() {
	cli.Main(cmd.New(os.Stdout, os.Stderr))
}
