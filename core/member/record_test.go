package member_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/member"
)

// Guards against an order of records that is not total, with which instances could keep different records.
func TestNewerIsTotalOrder(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) member.Record {
		return member.Record{
			Incarnation: ident.Incarnation(rapid.IntRange(0, 3).Draw(t, "incarnation")),
			State:       rapid.SampledFrom(member.StateValues()).Draw(t, "state"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		require.Equal(t, a != b, a.Newer(b) || b.Newer(a))
		require.False(t, a.Newer(b) && b.Newer(a))
		require.False(t, a.Newer(b) && b.Newer(c) && !a.Newer(c))
	})
	require.True(t, member.StateAlive < member.StateSuspect && member.StateSuspect < member.StateDead && member.StateDead < member.StateLeft)
}

// Guards against a restarted process whose first incarnation is not above those of the earlier process.
func TestFirstIncarnationGrows(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	require.Greater(t, member.FirstIncarnation(start.Add(time.Second)), member.FirstIncarnation(start)+1000)
}
