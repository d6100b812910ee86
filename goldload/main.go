// Command goldload puts load on a deployment and measures it.
package main

import (
	"os"

	"goldcreststand.example/goldload/internal/cmd"
	"goldcreststand.example/lib/cli"
)

func main() {
	cli.Main(cmd.New(os.Stdout, os.Stderr))
}
