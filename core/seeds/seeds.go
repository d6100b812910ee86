// Package seeds runs property tests with a fixed seed, which makes their results reproducible.
package seeds

import (
	"flag"
	"testing"
)

// defaultSeed is the seed of property tests when none is given on the command line.
const defaultSeed = "20261204"

// Main runs the tests of a package with the default seed and returns the exit code. The flag
// -rapid.seed overrides the seed.
func Main(m *testing.M) int {
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		panic(err)
	}
	return m.Run()
}
