package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"time"

	"goldcreststand.example/lib/cli"
)

// defaultWindow is the time before a request for which state changes of its instances are shown.
const defaultWindow = 10 * time.Second

func newExplainCmd(cfg *Config) *cli.Command {
	var window time.Duration
	return &cli.Command{
		Name:  "explain",
		Args:  "REQUEST [FILE ...]",
		Short: "print what the instances logged about a request, in order of time (reads standard input without files)",
		Flags: func(fs *flag.FlagSet) {
			fs.DurationVar(&window, "before", defaultWindow, "time before the request for which state changes are shown")
		},
		Run: func(_ context.Context, args []string) error { return cfg.runExplainCmd(args, window) },
	}
}

func (cfg *Config) runExplainCmd(args []string, window time.Duration) error {
	if len(args) == 0 {
		return usagef("argument REQUEST is missing")
	}
	lines, err := readLogs(args[1:])
	if err != nil {
		return err
	}
	found := linesAbout(lines, args[0], window)
	if len(found) == 0 {
		return fmt.Errorf("no line names request %s: its line may have been suppressed, or its instance stopped before writing it", args[0])
	}
	for _, l := range found {
		if _, err := fmt.Fprintln(cfg.Out, l.String()); err != nil {
			return err
		}
	}
	return nil
}

func readLogs(files []string) ([]logLine, error) {
	if len(files) == 0 {
		return readLog(os.Stdin)
	}
	var out []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := readLog(f)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		out = append(out, lines...)
	}
	return out, nil
}

// linesAbout returns the lines about the request in order of time. It includes the state changes of the instances that
// handled the request, within the window before it, if they are about its service, its servers or the instance itself.
func linesAbout(lines []logLine, request string, window time.Duration) []logLine {
	var found []logLine
	for i := range lines {
		if lines[i].request() == request {
			found = append(found, lines[i])
		}
	}
	for _, requestLine := range slices.Clone(found) {
		for i := range lines {
			if l := &lines[i]; l.instance == requestLine.instance && l.request() == "" && isWithin(l, &requestLine, window) && isRelated(l, &requestLine) {
				found = append(found, *l)
			}
		}
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return a.time.Compare(b.time) })
	return slices.CompactFunc(found, func(a, b logLine) bool { return a.String() == b.String() })
}

func isWithin(l, requestLine *logLine, window time.Duration) bool {
	age := requestLine.time.Sub(l.time)
	return age >= 0 && age <= window
}

// isRelated reports whether a state change is about the service or a server of the request, or about the instance.
func isRelated(l, requestLine *logLine) bool {
	names := l.names()
	if len(names) == 0 {
		return true
	}
	return slices.ContainsFunc(names, func(n string) bool {
		// A matching service is not enough, because it would include the changes of all its servers.
		return slices.Contains(requestLine.names(), n) && (l.fields["server"] == nil || n == l.fields["server"])
	})
}
