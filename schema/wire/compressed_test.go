package wire_test

import (
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/schema/wire"
)

// Guards against content that changes when it is compressed and decompressed, also concurrently.
func TestCompressThenDecompress(t *testing.T) {
	var c wire.Compressor
	var wg sync.WaitGroup
	for _, content := range []string{"", "a", strings.Repeat("server ", 1e5)} {
		wg.Go(func() {
			for range 20 {
				compressed, err := c.Compress([]byte(content))
				if err != nil {
					t.Error(err)
					return
				}
				if got, err := compressed.Decompress(); err != nil || string(got) != content {
					t.Errorf("%d bytes became %d: %v", len(content), len(got), err)
				}
			}
		})
	}
	wg.Wait()
}

// Guards against small messages from a peer that decompress to a size beyond the memory limit, and against
// truncated messages.
func TestDecompressIsBounded(t *testing.T) {
	var c wire.Compressor
	compressed, err := c.Compress(make([]byte, 20<<20))
	require.NoError(t, err)
	got, err := compressed.Decompress()
	require.Error(t, err, "%d bytes", len(got))
	compressed, err = c.Compress([]byte(strings.Repeat("abc", 1000)))
	require.NoError(t, err)
	_, err = compressed[:len(compressed)-3].Decompress()
	require.Error(t, err)
}
