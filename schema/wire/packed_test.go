package wire_test

import (
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/schema/wire"
)

// Guards against content that changes on its way, also when several are packed at a time.
func TestPacked(t *testing.T) {
	var p wire.Packer
	var wg sync.WaitGroup
	for _, content := range []string{"", "a", strings.Repeat("server ", 1e5)} {
		wg.Go(func() {
			for range 20 {
				packed, err := p.Pack([]byte(content))
				if err != nil {
					t.Error(err)
					return
				}
				if got, err := packed.Unpack(); err != nil || string(got) != content {
					t.Errorf("%d bytes became %d: %v", len(content), len(got), err)
				}
			}
		})
	}
	wg.Wait()
}

// Guards against a peer whose small message takes all memory, and against one that is cut short.
func TestUnpackIsBounded(t *testing.T) {
	var p wire.Packer
	packed, err := p.Pack(make([]byte, 20<<20))
	require.NoError(t, err)
	got, err := packed.Unpack()
	require.Error(t, err, "%d bytes", len(got))
	packed, err = p.Pack([]byte(strings.Repeat("abc", 1000)))
	require.NoError(t, err)
	_, err = packed[:len(packed)-3].Unpack()
	require.Error(t, err)
}
