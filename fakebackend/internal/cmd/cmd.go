// Package cmd holds the subcommands of fakebackend.
package cmd

import (
	"io"

	"goldcreststand.example/lib/cli"
)

// Version is the version of the program.
const Version = "0.1.0"

// Config holds the output streams that the subcommands share.
type Config struct {
	Out io.Writer
	Err io.Writer
}

// New returns the program with all its subcommands.
func New(out, errw io.Writer) *cli.Program {
	cfg := &Config{Out: out, Err: errw}
	return &cli.Program{
		Name:     "fakebackend",
		Short:    "fake backend servers of a service, for tests",
		Version:  Version,
		Out:      out,
		Err:      errw,
		Commands: []*cli.Command{newServeCmd(cfg)},
	}
}
