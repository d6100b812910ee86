// Command fakeplatform is a fake of the platform's object store and server lists, for tests.
package main

import (
	"os"

	"goldcreststand.example/fakeplatform/internal/cmd"
	"goldcreststand.example/lib/cli"
)

func main() {
	cli.Main(cmd.New(os.Stdout, os.Stderr))
}
