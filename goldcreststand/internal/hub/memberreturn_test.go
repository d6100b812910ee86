package hub

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/store"
)

// registered posts that an instance has written its entry.
func (h *harness) registered(id ident.InstanceID) {
	h.rev++
	h.apply(MembersUpdate{store.Batch[ring.Member]{AsOf: h.at(), Objects: []store.Object[ring.Member]{{Name: string(id), Revision: h.rev, Value: member(id)}}}})
}

// memberIDs returns the ids of the members.
func (h *harness) memberIDs() []ident.InstanceID {
	var out []ident.InstanceID
	for _, m := range h.snapshot().Members {
		out = append(out, m.ID)
	}
	return out
}

// Guards against lookups that name an instance which was found dead, because the copy to which the store returned still lists it, and
// against an entry that nobody removes again, or all instances at once.
func TestDeadMemberStaysRemovedAfterReturnOfStore(t *testing.T) {
	removals := 0
	for _, self := range []ident.InstanceID{"i1", "i2", "i3"} {
		h := newHarnessOf(self)
		h.storeEra, h.rev = 1, 50
		h.join("i1", "i2", "i3", "i4")
		h.join("i1", "i2", "i3")
		h.wait(time.Second)
		h.returnTo(30)
		out := h.join("i1", "i2", "i3", "i4")
		for _, a := range actionsOf[DeregisterMember](out) {
			require.Equal(t, ident.InstanceID("i4"), a.ID)
			removals++
		}
		rest := []ident.InstanceID{"i1", "i2", "i3"}
		require.Equal(t, rest, h.memberIDs())
		h.wait(reaffirmTime - time.Second)
		h.registered("i2")
		require.Equal(t, rest, h.memberIDs(), "a change of another member")
		h.registered("i4")
		require.Equal(t, append(rest, "i4"), h.memberIDs(), "it has written its entry")
	}
	require.Equal(t, 1, removals)
}

// Guards against an instance that runs and is left out for good, because it was removed before the store's return and its entry in the copy
// does not change.
func TestListedMemberIsUsedLongAfterReturnOfStore(t *testing.T) {
	h := newHarness()
	h.storeEra, h.rev = 1, 50
	h.join("i1", "i2")
	h.join("i1")
	h.returnTo(30)
	h.join("i1", "i2")
	require.Equal(t, []ident.InstanceID{"i1"}, h.memberIDs())
	h.wait(reaffirmTime)
	require.Equal(t, []ident.InstanceID{"i1", "i2"}, h.memberIDs())
}

// Guards against a fleet that counts as a single instance, and an instance that stops watching, because the store has lost the entries of
// instances that started within the lost time; and against keeping those that do not write their entries again.
func TestMembersOfLostTimeAreKeptAfterReturnOfStore(t *testing.T) {
	h := newHarness()
	h.storeEra, h.rev = 1, 50
	h.join("i1", "i2", "i3")
	h.wait(registerInterval)
	h.returnTo(30)
	out := h.join()
	require.Equal(t, []RegisterMember{{Member: member("i1")}}, actionsOf[RegisterMember](out))
	require.Equal(t, []ident.InstanceID{"i1", "i2", "i3"}, h.memberIDs())
	require.Len(t, h.watched, len(KindValues()))
	require.Len(t, actionsOf[RegisterMember](h.wait(registerInterval)), 1, "the entry is still missing")
	h.registered("i1")
	h.registered("i3")
	require.Empty(t, actionsOf[RegisterMember](h.wait(memberGrace)))
	require.Equal(t, []ident.InstanceID{"i1", "i3"}, h.memberIDs())
}
