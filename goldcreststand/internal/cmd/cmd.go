// Package cmd implements the subcommands of goldcreststand.
package cmd

import (
	"io"

	"goldcreststand.example/lib/cli"
)

// Version is the version of the program.
const Version = "0.1.0"

// Config is the state that the subcommands share.
type Config struct {
	Out io.Writer
	Err io.Writer
}

// New returns the program with all its subcommands.
func New(out, errw io.Writer) *cli.Program {
	cfg := &Config{Out: out, Err: errw}
	return &cli.Program{
		Name:     "goldcreststand",
		Short:    "a load balancer for servers whose load shifts within milliseconds",
		Version:  Version,
		Out:      out,
		Err:      errw,
		Commands: []*cli.Command{newServeCmd(cfg), newSiteCmd(cfg), newCheckCmd(cfg)},
	}
}
