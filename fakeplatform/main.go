// Command fakeplatform stands in for the platform in tests: its object store and its instance list.
package main

import (
	"os"

	"goldcreststand.example/fakeplatform/internal/cmd"
	"goldcreststand.example/lib/cli"
)

func main() {
	cli.Main(cmd.New(os.Stdout, os.Stderr))
}
