// Command goldctl is the client for operators of goldcreststand.
package main

import (
	"os"

	"goldcreststand.example/goldctl/internal/cmd"
	"goldcreststand.example/lib/cli"
)

func main() {
	cli.Main(cmd.New(os.Stdout, os.Stderr))
}
