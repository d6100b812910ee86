// Command goldload generates load for goldcreststand and measures the responses. It also compares routing
// policies in a simulation.
package main

import (
	"os"

	"goldcreststand.example/goldload/internal/cmd"
	"goldcreststand.example/lib/cli"
)

func main() {
	cli.Main(cmd.New(os.Stdout, os.Stderr))
}
