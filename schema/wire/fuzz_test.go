package wire_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/schema/wire"
)

// FuzzMessages guards against messages of other instances that end the process, or that cannot be sent on once they were
// accepted.
func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"sender":"i1","wait":500,"wants":[{"kind":"servers","known":18446744073709551615}]}`))
	f.Add([]byte(`{"age":-1,"grace":1e400,"news":[{"kind":"odd","content":"AAAA"}]}`))
	f.Add([]byte(strings.Repeat("[", 20000)))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, m := range []any{
			new(wire.FollowRequest), new(wire.FollowReply), new(wire.Ping), new(wire.Pong), new(wire.Alive), new(wire.Report),
			new(wire.Receipt), new(wire.Tally), new(wire.Table), new(wire.Server), new(wire.Listing), new(wire.Fetch), new(wire.Fetched),
			new(wire.Faults), new(wire.Entries), new(wire.Status), new(wire.Advice), new(wire.Warmth),
		} {
			if json.Unmarshal(b, m) != nil {
				continue
			}
			_, err := json.Marshal(m)
			require.NoError(t, err, "%T", m)
		}
	})
}

// FuzzDecompress guards against compressed content that ends the process or has no limit.
func FuzzDecompress(f *testing.F) {
	var c wire.Compressor
	for _, s := range []string{"", "servers", strings.Repeat("x", 9<<20)} {
		b, err := c.Compress([]byte(s))
		require.NoError(f, err)
		f.Add([]byte(b))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		out, err := wire.Compressed(b).Decompress()
		require.True(t, err != nil || len(out) <= 8<<20)
	})
}
