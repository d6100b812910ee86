package hub

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/access"
	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/relay"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/store"
)

// configWithKey returns a configuration with one organisation.
func configWithKey(t *testing.T, v ident.Revision, k access.Key) *rules.Config {
	c := config(v)
	var findings []access.Finding
	c.Access, findings = access.New(access.Secret{1}, []access.Organisation{{Name: "one", Keys: []access.Key{k}}})
	require.Empty(t, findings)
	return c
}

func configs(asOf ident.Revision, cs ...*rules.Config) store.Batch[*rules.Config] {
	b := store.Batch[*rules.Config]{Complete: true, AsOf: at(asOf)}
	for _, c := range cs {
		b.Objects = append(b.Objects, store.Object[*rules.Config]{Name: "main", Revision: asOf, Value: c})
	}
	return b
}

// accepts reports whether calls with the key are admitted.
func (h *harness) accepts(k access.Key) bool {
	snap := h.snapshot()
	if !snap.Ready {
		return false
	}
	_, admitted := snap.Config.Access.Admit(k, false)
	return admitted
}

// newStarting returns the state of an instance that has read all kinds but the configuration and the members.
func newStarting() *harness {
	h := &harness{state: newState(Self{Member: member("i1")}, time.Unix(1e6, 0), noLog{})}
	h.apply(OrdersUpdate{store.Batch[*canary.RolloutOrder]{Complete: true}})
	h.apply(EvacuationsUpdate{store.Batch[ident.DomainName]{Complete: true}})
	h.apply(ServersUpdate{store.Batch[roster.ServiceServer]{Complete: true}})
	return h
}

// Guards against an invalid or unreadable configuration, or its removal, that ends the validity of the last valid one.
func TestInvalidConfigKeepsTheLastValidOne(t *testing.T) {
	h := newHarness()
	h.list(true, entry("s1", "v1"))
	h.apply(ConfigUpdate{configs(10, configWithKey(t, 5, "k"))})
	invalid := store.InvalidObject{Name: "main", Revision: 11, Err: errors.New("organisation \"a\": key 1 is empty")}
	for _, b := range []store.Batch[*rules.Config]{
		{AsOf: at(11), Invalid: []store.InvalidObject{invalid}},
		{AsOf: at(12), Complete: true, Invalid: []store.InvalidObject{invalid}},
		{AsOf: at(13), Removed: []string{"main"}},
	} {
		h.apply(ConfigUpdate{b})
		require.True(t, h.accepts("k"))
		require.Equal(t, ident.Revision(5), h.snapshot().Config.Version)
	}
	h.apply(ConfigUpdate{configs(14, configWithKey(t, 6, "new"))})
	require.False(t, h.accepts("k"))
	require.True(t, h.accepts("new"))
	h.apply(ConfigUpdate{configs(15, configWithKey(t, 5, "k"))})
	require.False(t, h.accepts("k"), "a key that only an older version holds")
}

// Guards against an instance that starts and accepts a revoked key, because it learns the configuration from an instance
// that is out of date, and against one that never serves while the store is away.
func TestStartWaitsForCurrentConfig(t *testing.T) {
	from := func(age time.Duration, c *rules.Config) PollCompleted {
		return PollCompleted{From: peerOf("i2"), Freshness: Freshness{Copy: relay.Copy{Age: age}}, Updates: []Event{ConfigUpdate{configs(10, c)}}}
	}
	old := configWithKey(t, 5, "revoked")

	h := newStarting()
	h.apply(from(30*time.Second, old))
	require.False(t, h.accepts("revoked"))
	h.apply(ConfigUpdate{configs(11, configWithKey(t, 6, "new"))})
	require.False(t, h.accepts("revoked"))
	require.True(t, h.accepts("new"), "the store has confirmed it")

	h = newStarting()
	h.apply(from(100*time.Millisecond, old))
	require.True(t, h.accepts("revoked"), "a recent copy is as good as the store")

	h = newStarting()
	h.apply(from(30*time.Second, old))
	h.apply(PollCompleted{From: peerOf("i3"), Freshness: Freshness{Copy: relay.Copy{Age: time.Millisecond}}})
	require.True(t, h.accepts("revoked"), "a recent copy has no newer one")

	h = newStarting()
	h.apply(from(30*time.Second, old))
	h.apply(PollCompleted{From: peerOf("i3"), Err: errors.New("no reply")})
	h.wait(confirmTimeout - tickInterval)
	require.False(t, h.accepts("revoked"))
	h.wait(tickInterval)
	require.True(t, h.accepts("revoked"), "nothing replies")

	h = newStarting()
	h.apply(from(30*time.Second, old))
	h.watched = map[Kind]bool{KindConfig: true}
	h.apply(StoreUnavailable{Kind: KindConfig, Err: errors.New("refused")})
	h.apply(tick{})
	require.True(t, h.accepts("revoked"), "the store is away")

	h = newStarting()
	h.apply(from(30*time.Second, config(5)))
	require.True(t, h.snapshot().Ready, "without organisations nothing has to be confirmed")
}

// Guards against a valid configuration that is not used because the newest one, which is invalid, was read before it, and
// against an older one that comes back in this way.
func TestLastValidConfigIsUsed(t *testing.T) {
	invalid := []store.InvalidObject{{Name: "main", Revision: 12, Err: errors.New("organisation")}}
	lastValid := func(c *rules.Config) []store.Object[*rules.Config] {
		return []store.Object[*rules.Config]{{Name: "main", Revision: 10, Value: c}}
	}
	h := newStarting()
	h.apply(ConfigUpdate{store.Batch[*rules.Config]{AsOf: at(12), Complete: true, Invalid: invalid}})
	require.False(t, h.snapshot().Ready)
	h.apply(PollCompleted{From: peerOf("i2"), Updates: []Event{ConfigUpdate{store.Batch[*rules.Config]{
		AsOf: at(12), LastValid: lastValid(configWithKey(t, 5, "k")),
	}}}})
	require.True(t, h.accepts("k"))
	h.apply(PollCompleted{From: peerOf("i3"), Updates: []Event{ConfigUpdate{store.Batch[*rules.Config]{
		AsOf: at(12), LastValid: lastValid(configWithKey(t, 4, "revoked")),
	}}}})
	require.False(t, h.accepts("revoked"))
	require.True(t, h.accepts("k"))
}

// Guards against an instance that never asks others for the last valid configuration, or that asks without end.
func TestLastValidConfigIsAskedFor(t *testing.T) {
	h := newStarting()
	h.apply(ConfigUpdate{store.Batch[*rules.Config]{AsOf: at(12), Complete: true, Invalid: []store.InvalidObject{{Name: "main", Revision: 12, Err: errors.New("organisation")}}}})
	var asked []ident.Revision
	poll := func(out []Action) {
		for _, p := range actionsOf[PollPeer](out) {
			asked = append(asked, p.Known[KindConfig].Revision)
		}
	}
	poll(h.join("i1", "i2", "i3"))
	for range 5 {
		poll(h.apply(PollCompleted{From: peerOf("i2")}))
	}
	require.Equal(t, []ident.Revision{0, 12, 12, 12, 12, 12}, asked)
	asked = nil
	h.now = h.now.Add(lastValidInterval)
	poll(h.apply(PollCompleted{From: peerOf("i2")}))
	require.Equal(t, []ident.Revision{0}, asked)
	h.apply(ConfigUpdate{store.Batch[*rules.Config]{AsOf: at(12), LastValid: configs(10, configWithKey(t, 5, "k")).Objects}})
	asked = nil
	h.now = h.now.Add(lastValidInterval)
	poll(h.apply(PollCompleted{From: peerOf("i2")}))
	require.Equal(t, []ident.Revision{12}, asked)
}
