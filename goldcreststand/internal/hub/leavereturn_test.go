package hub

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/store"
)

// Guards against calls to a server that an instance knows to leave or to be gone, after the store's return to a copy in which the server
// is ready, and against a server that stays out of use although it has written its entry again.
func TestLeaveOutlastsReturnOfStore(t *testing.T) {
	draining, restarted := entry("s2", "v1"), entry("s2", "v1")
	draining.Server.Draining = true
	restarted.Server.Incarnation = 7
	leaves := map[string]func(h *harness){
		"drains":  func(h *harness) { h.list(false, draining) },
		"removed": func(h *harness) { h.unlist("s2") },
	}
	tests := []struct {
		name string
		// copied is the server's entry in the copy, and next what the store reports after its return.
		copied roster.ServiceServer
		next   func(h *harness)
		after  time.Duration
		inUse  bool
	}{
		{name: "nothing is written", copied: entry("s2", "v1"), next: func(*harness) {}, after: reaffirmTime - time.Second},
		{name: "listed for long", copied: entry("s2", "v1"), next: func(*harness) {}, after: reaffirmTime, inUse: true},
		{name: "listed again", copied: entry("s2", "v1"), next: func(h *harness) {
			h.list(true, entry("s1", "v1"))
			h.list(true, entry("s1", "v1"))
		}, after: time.Second},
		{name: "listed again unchanged", copied: entry("s2", "v1"), next: func(h *harness) {
			b := store.Batch[roster.ServiceServer]{Complete: true, AsOf: h.at().WithRevision(h.rev + 5)}
			for _, id := range []ident.ServerID{"s1", "s2"} {
				b.Objects = append(b.Objects, store.Object[roster.ServiceServer]{Name: string(id), Revision: h.rev, Value: entry(id, "v1")})
			}
			h.apply(ServersUpdate{b})
		}, after: time.Second},
		{name: "drains", copied: entry("s2", "v1"), next: func(h *harness) { h.list(false, draining) }, after: 2 * reaffirmTime},
		{name: "removed", copied: entry("s2", "v1"), next: func(h *harness) { h.unlist("s2") }, after: 2 * reaffirmTime},
		{name: "written again", copied: entry("s2", "v1"), next: func(h *harness) { h.list(false, entry("s2", "v1")) }, inUse: true},
		{name: "restarted", copied: restarted, next: func(*harness) {}, inUse: true},
	}
	for leaving, leave := range leaves {
		for _, tt := range tests {
			t.Run(leaving+"/"+tt.name, func(t *testing.T) {
				h := newHarness()
				h.storeEra, h.rev = 1, 50
				h.listAll()
				leave(h)
				h.wait(2 * time.Second)
				h.returnTo(30)
				h.list(true, entry("s1", "v1"), tt.copied)
				stable, _ := h.pools()
				require.Equal(t, tt.copied == restarted, len(stable) == 2, "after the return")
				tt.next(h)
				h.wait(tt.after)
				stable, _ = h.pools()
				require.Equal(t, tt.inUse, len(stable) == 2, "%v", stable)
			})
		}
	}
}

// Guards against a service without servers, because entries that expired before the store's return are taken for those of servers that
// left.
func TestExpiredServersAreUsedAfterReturnOfStore(t *testing.T) {
	var all []roster.ServiceServer
	var names []string
	for i := range 6 {
		names = append(names, "s"+strconv.Itoa(i))
		all = append(all, entry(ident.ServerID(names[i]), "v1"))
	}
	h := newHarness()
	h.storeEra, h.rev = 1, 50
	h.list(true, all...)
	h.unlist(names[1:]...)
	h.wait(3 * time.Second)
	h.returnTo(30)
	h.list(true, all...)
	stable, _ := h.pools()
	require.Len(t, stable, 6)
}
