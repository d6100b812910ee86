// Package cli runs command line programs with subcommands, using the standard flag package.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
)

// Exit codes of every program.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that the arguments or settings are invalid.
	ExitUsage = 2
	// ExitConflict means that the edit conflicts with an edit by another operator.
	ExitConflict = 3
	// ExitTimeout means that the command timed out. The requested change may still take effect.
	ExitTimeout = 4
)

// Command is one subcommand.
type Command struct {
	Name  string
	Args  string
	Short string
	// Flags registers the command's flags. It may be nil.
	Flags func(fs *flag.FlagSet)
	Run   func(ctx context.Context, args []string) error
}

// Program is a command line program with subcommands.
type Program struct {
	Name     string
	Short    string
	Version  string
	Out      io.Writer
	Err      io.Writer
	Commands []*Command
}

// ExitError is an error with the exit code of the program.
type ExitError struct {
	Code int
	Err  error
}

var _ error = (*ExitError)(nil)

// Error returns the message of the wrapped error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// Exit wraps err with an exit code. It returns nil if err is nil.
func Exit(code int, err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{Code: code, Err: err}
}

// Main runs the program with the arguments of the process and exits with its exit code. SIGINT and
// SIGTERM cancel the command's context.
func Main(p *Program) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := p.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// Run runs the subcommand named by the first argument and returns the exit code.
func (p *Program) Run(ctx context.Context, args []string) int {
	if len(args) == 0 {
		p.usage(p.Err)
		return ExitUsage
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		p.usage(p.Out)
		return ExitOK
	case "-version", "--version":
		_, _ = fmt.Fprintf(p.Out, "%s %s\n", p.Name, p.Version)
		return ExitOK
	}
	i := slices.IndexFunc(p.Commands, func(c *Command) bool { return c.Name == args[0] })
	if i < 0 {
		_, _ = fmt.Fprintf(p.Err, "%s: unknown command %q\n", p.Name, args[0])
		p.usage(p.Err)
		return ExitUsage
	}
	return p.runCommand(ctx, p.Commands[i], args[1:])
}

func (p *Program) runCommand(ctx context.Context, c *Command, args []string) int {
	fs := flag.NewFlagSet(p.Name+" "+c.Name, flag.ContinueOnError)
	fs.SetOutput(p.Err)
	fs.Usage = func() {
		_, _ = fmt.Fprintf(fs.Output(), "usage: %s\n%s\n", p.synopsis(c), c.Short)
		fs.PrintDefaults()
	}
	if c.Flags != nil {
		c.Flags(fs)
	}
	if slices.Contains([]string{"-h", "-help", "--help"}, first(args)) {
		fs.SetOutput(p.Out)
	}
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitUsage
	}
	err := c.Run(ctx, fs.Args())
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(p.Err, "%s: %v\n", p.Name, err)
	var x *ExitError
	if errors.As(err, &x) {
		return x.Code
	}
	return ExitFailed
}

func (p *Program) synopsis(c *Command) string {
	return strings.TrimSpace(fmt.Sprintf("%s %s [flags] %s", p.Name, c.Name, c.Args))
}

func (p *Program) usage(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s: %s\n\ncommands:\n", p.Name, p.Short)
	for _, c := range p.Commands {
		_, _ = fmt.Fprintf(w, "  %-10s %s\n", c.Name, c.Short)
	}
	_, _ = fmt.Fprintf(w, "\nUse \"%s <command> -help\" for the flags of a command, \"%s -version\" for the version.\n", p.Name, p.Name)
	_, _ = fmt.Fprintf(w, "exit codes: 0 done, 1 failed, 2 invalid arguments or settings, 3 conflicting edit, 4 timed out\n")
}

func first(args []string) string {
	if len(args) == 0 {
		return ""
	}
	return args[0]
}
