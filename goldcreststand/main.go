// Command goldcreststand is the load balancer that runs on each instance.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"goldcreststand.example/goldcreststand/internal/cmd"
	"goldcreststand.example/lib/cli"
)

func main() {
	// A write to a log whose reader has ended fails. By default it would end the process, with the calls in flight.
	signal.Ignore(syscall.SIGPIPE)
	cli.Main(cmd.New(os.Stdout, os.Stderr))
}
