package mesh_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/store"
	"goldcreststand.example/core/usage"
	"goldcreststand.example/goldcreststand/internal/hub"
)

// Guards against counts or knowledge of the duty that change on their way to another instance and back.
func TestCountsAreDelivered(t *testing.T) {
	a, b := newInstance(t, "a", 0), newInstance(t, "b", 0)
	m := usage.Message{
		Source: usage.Source{Instance: "a", Incarnation: 7}, Sequence: 9, Clock: 7 * time.Second,
		Windows: []usage.Report{{Window: 41, Counts: usage.Counts{"T 1": 3}}, {Window: 42, Counts: usage.Counts{}}},
	}
	standing := usage.Standing{Holder: "b", Token: 4, Lease: 8 * time.Second, Position: store.Position{Era: 3, Revision: 77}, Stored: 40}
	delivered, versions := make(chan struct{}, 1), map[usage.Window]uint64{41: 3, 42: 1}
	a.mesh.SendCounts(hub.SendCounts{To: b.member, Message: m, Standing: standing, Versions: versions, Delivered: delivered})
	received := next[hub.CountsReceived](t, b)
	require.Equal(t, m, received.Message)
	require.Equal(t, standing, received.Standing)
	by := usage.Source{Instance: "b", Incarnation: 8}
	received.Reply <- hub.UsageReply{Source: by, Standing: usage.Standing{}}
	require.Equal(t, hub.CountsDelivered{UsageReply: hub.UsageReply{Source: by}, Versions: versions}, next[hub.CountsDelivered](t, a))
	<-delivered
}
