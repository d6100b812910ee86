// Command goldcreststand is the load balancer that runs on each instance.
package main

import (
	"os"

	"goldcreststand.example/goldcreststand/internal/cmd"
	"goldcreststand.example/lib/cli"
)

func main() {
	cli.Main(cmd.New(os.Stdout, os.Stderr))
}
