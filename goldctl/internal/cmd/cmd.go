// Package cmd holds the subcommands of goldctl.
package cmd

import (
	"io"

	"goldcreststand.example/lib/cli"
)

// Version is the version of the program.
const Version = "0.1.0"

// Config holds the output streams of the subcommands.
type Config struct {
	Out io.Writer
	Err io.Writer
}

// New returns the program with all its subcommands.
func New(out, errw io.Writer) *cli.Program {
	cfg := &Config{Out: out, Err: errw}
	return &cli.Program{
		Name:    "goldctl",
		Short:   "the client for operators of goldcreststand",
		Version: Version,
		Out:     out,
		Err:     errw,
		Commands: []*cli.Command{
			newApplyCmd(cfg), newBackCmd(cfg), newCheckCmd(cfg), newDiffCmd(cfg), newDomainCmd(cfg), newExplainCmd(cfg),
			newGetCmd(cfg), newMembersCmd(cfg), newMoveCmd(cfg), newProgressCmd(cfg), newSetCmd(cfg), newStatusCmd(cfg),
			newWhereCmd(cfg),
		},
	}
}
