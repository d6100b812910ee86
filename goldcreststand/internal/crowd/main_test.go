// Package crowd tests that callers which the operators do not control can neither end an instance nor take its memory
// or its descriptors, and that requests that cross a close or planned work get a response once they are read. Each test
// starts the program on loopback addresses.
package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"

	// The program is built by the tests: without this import, go test would take results for valid after a change of it.
	_ "goldcreststand.example/goldcreststand/internal/cmd"
)

// maxFilesVariable asks the test binary to set the limit of descriptors and to become the program in its arguments.
const maxFilesVariable = "CROWD_MAX_FILES"

// program is the path of the program under test.
var program string

func TestMain(m *testing.M) {
	if v := os.Getenv(maxFilesVariable); v != "" {
		fmt.Fprintln(os.Stderr, becomeProgram(v))
		os.Exit(1)
	}
	os.Exit(buildAndRun(m))
}

// becomeProgram replaces the process by the program, so that the limit of descriptors holds for the program alone. It
// returns only on failure.
func becomeProgram(maxFiles string) error {
	n, err := strconv.ParseUint(maxFiles, 10, 64)
	if err != nil {
		return err
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
		return err
	}
	env := slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, maxFilesVariable+"=") })
	return syscall.Exec(os.Args[1], os.Args[1:], env)
}

// buildAndRun builds the program and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "goldcreststand")
	out, err := exec.Command("go", "build", "-o", program, "goldcreststand.example/goldcreststand").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "building the program failed: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
