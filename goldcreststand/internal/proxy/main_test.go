package proxy_test

import (
	"io"
	"log"
	"os"
	"testing"

	"goldcreststand.example/core/seeds"
)

func TestMain(m *testing.M) {
	// net/http logs each unsolicited response to the standard logger.
	log.SetOutput(io.Discard)
	os.Exit(seeds.Main(m))
}
