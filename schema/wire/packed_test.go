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
	var p wire.Compressor
	var wg sync.WaitGroup
	for _, content := range []string{"", "a", strings.Repeat("server ", 1e5)} {
		wg.Go(func() {
			for range 20 {
				packed, err := p.Compress([]byte(content))
				if err != nil {
					t.Error(err)
					return
				}
				if got, err := packed.Decompress(); err != nil || string(got) != content {
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
	var p wire.Compressor
	packed, err := p.Compress(make([]byte, 20<<20))
	require.NoError(t, err)
	got, err := packed.Decompress()
	require.Error(t, err, "%d bytes", len(got))
	packed, err = p.Compress([]byte(strings.Repeat("abc", 1000)))
	require.NoError(t, err)
	_, err = packed[:len(packed)-3].Decompress()
	require.Error(t, err)
}
