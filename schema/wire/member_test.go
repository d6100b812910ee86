package wire_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/member"
	"goldcreststand.example/schema/wire"
)

// Guards against a record, state or flag that is lost between two instances.
func TestHeartbeatsSurviveEncoding(t *testing.T) {
	var rs []member.Record
	for i, s := range member.StateValues() {
		r := member.Record{
			ID: ident.InstanceID(fmt.Sprintf("luzon-%d", i)), Incarnation: 1843200000000 + ident.Incarnation(i), State: s,
			Domain: "luzon-a", Region: "luzon", Traffic: netip.MustParseAddrPort("10.0.0.1:80"), Peer: netip.MustParseAddrPort("[::1]:81"),
		}
		rs = append(rs, r)
		r.ID += "-short"
		rs = append(rs, r.Short())
	}
	slices.SortStableFunc(rs, func(a, b member.Record) int {
		if a.Full() == b.Full() {
			return 0
		}
		if a.Full() {
			return -1
		}
		return 1
	})
	for _, p := range []member.Ping{
		{Sender: "a", Incarnation: 1},
		{Sender: "a", Incarnation: 1, Target: "b", Members: rs},
		{Sender: "a", Incarnation: 1, Pull: true},
		{Sender: "a", Incarnation: 1, Pull: true, After: "b"},
	} {
		got := new(wire.Ping)
		b, err := json.Marshal(wire.FromPing(p))
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(b, got))
		require.Equal(t, p, got.Core())
	}
	for _, p := range []member.Pong{
		{Sender: "a", Incarnation: 1},
		{Sender: "a", Incarnation: 1, TargetReached: true, More: true, LiveMembers: 7, Members: rs},
	} {
		got := new(wire.Pong)
		b, err := json.Marshal(wire.FromPong(p))
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(b, got))
		require.Equal(t, p, got.Core())
	}
}

// Guards against a damaged life that is taken for a valid one.
func TestInvalidLives(t *testing.T) {
	for _, s := range []string{"", "a", "@1", "A@1", "a@", "a@-1", "a@1x", "a@99999999999999999999"} {
		var p wire.Ping
		require.Error(t, json.Unmarshal([]byte(`{"sender":"a","incarnation":1,"dead":["`+s+`"]}`), &p), s)
	}
}
