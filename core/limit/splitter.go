package limit

import (
	"cmp"
	"slices"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
)

// Shares is the number of slots that one instance may use at each backend server.
type Shares map[ident.ServerID]ident.Slots

// Splitter divides the caps of a service between the instances that serve it. For each server the
// shares of all nodes add up to the cap. The result depends on the arguments only, not on the order
// of the nodes, so that instances with equal views agree without messages.
type Splitter interface {
	Split(s ident.ServiceName, caps []Cap, nodes []place.Instance) map[ident.InstanceID]Shares
}

// Holders returns the instances with a share at the server, the one with the largest share first and equals
// in the order of the nodes.
func Holders(plan map[ident.InstanceID]Shares, nodes []place.Instance, id ident.ServerID) []ident.InstanceID {
	var out []ident.InstanceID
	for _, n := range nodes {
		if plan[n.ID][id] > 0 {
			out = append(out, n.ID)
		}
	}
	slices.SortStableFunc(out, func(a, b ident.InstanceID) int { return cmp.Compare(plan[b][id], plan[a][id]) })
	return out
}

// Owner returns the first of the holders, and "" when there is none. A server in warm-up gets its calls
// from its owner.
func Owner(plan map[ident.InstanceID]Shares, nodes []place.Instance, id ident.ServerID) ident.InstanceID {
	if h := Holders(plan, nodes, id); len(h) > 0 {
		return h[0]
	}
	return ""
}

// Spread gives every instance slots at every server. Slots that do not divide evenly go to instances
// in the server's placement order.
type Spread struct{}

// Whole gives all slots of a server to one instance, the first with room in the server's placement
// order.
type Whole struct{}

// Near gives the same number of slots of each version to every instance, first those of servers in its
// own failure domain. Calls then seldom cross domains, an instance that is lost with its domain leaves
// the shares of the others as they are, and every instance can send each version its share of calls. Nodes choose in
// placement order, so that one which joins in place of another takes little from the rest.
type Near struct{}

var (
	_ Splitter = Spread{}
	_ Splitter = Whole{}
	_ Splitter = Near{}
)

// Split implements Splitter.
func (Spread) Split(s ident.ServiceName, caps []Cap, nodes []place.Instance) map[ident.InstanceID]Shares {
	out := newShares(nodes)
	if len(nodes) == 0 {
		return out
	}
	k := ident.Slots(len(nodes))
	var rest ident.Slots
	for _, c := range caps {
		rest += c.Slots % k
	}
	room := newRoom(nodes, rest)
	for _, c := range caps {
		for _, n := range nodes {
			out[n.ID][c.Server] = c.Slots / k
		}
		for _, n := range room.choose(serverOrder(s, c, nodes), int(c.Slots%k), 1) {
			out[n.ID][c.Server]++
		}
	}
	return out
}

// Split implements Splitter.
func (Whole) Split(s ident.ServiceName, caps []Cap, nodes []place.Instance) map[ident.InstanceID]Shares {
	out := newShares(nodes)
	var total ident.Slots
	for _, c := range caps {
		total += c.Slots
	}
	room := newRoom(nodes, total)
	for _, c := range caps {
		for _, n := range room.choose(serverOrder(s, c, nodes), 1, c.Slots) {
			out[n.ID][c.Server] = c.Slots
		}
	}
	return out
}

// Split implements Splitter.
func (Near) Split(s ident.ServiceName, caps []Cap, nodes []place.Instance) map[ident.InstanceID]Shares {
	out := newShares(nodes)
	rooms := make(map[ident.VersionName]room)
	for v, n := range totals(caps) {
		rooms[v] = newRoom(nodes, n)
	}
	give := func(c *Cap, n place.Instance) {
		room := rooms[c.Version]
		k := max(0, min(c.Slots, room[n.ID]))
		if k > 0 {
			out[n.ID][c.Server] += k
		}
		room[n.ID] -= k
		c.Slots -= k
	}
	left, order := slices.Clone(caps), place.Order(string(s), nodes)
	for i := range left {
		for _, n := range order {
			if n.Domain == left[i].Domain {
				give(&left[i], n)
			}
		}
	}
	for i := range left {
		for _, n := range order {
			give(&left[i], n)
		}
	}
	return out
}

// totals adds up the slots by version.
func totals(caps []Cap) map[ident.VersionName]ident.Slots {
	out := make(map[ident.VersionName]ident.Slots)
	for _, c := range caps {
		out[c.Version] += c.Slots
	}
	return out
}

// room counts what each instance may still take. It bounds the imbalance that hashing alone leaves
// (Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", 2018).
type room map[ident.InstanceID]ident.Slots

// newRoom divides the slots evenly, rounded up.
func newRoom(nodes []place.Instance, slots ident.Slots) room {
	r := make(room, len(nodes))
	for _, n := range nodes {
		r[n.ID] = (slots + ident.Slots(len(nodes)) - 1) / ident.Slots(len(nodes))
	}
	return r
}

// choose returns count nodes in the given order, those with room before the others, and charges each
// the given number of slots.
func (r room) choose(order []place.Instance, count int, slots ident.Slots) []place.Instance {
	out := make([]place.Instance, 0, count)
	for _, full := range []bool{false, true} {
		for _, n := range order {
			if len(out) < count && (r[n.ID] <= 0) == full {
				out = append(out, n)
			}
		}
	}
	for _, n := range out {
		r[n.ID] -= slots
	}
	return out
}

func newShares(nodes []place.Instance) map[ident.InstanceID]Shares {
	out := make(map[ident.InstanceID]Shares, len(nodes))
	for _, n := range nodes {
		out[n.ID] = make(Shares)
	}
	return out
}

func serverOrder(s ident.ServiceName, c Cap, nodes []place.Instance) []place.Instance {
	return place.Order(string(s)+"/"+string(c.Server), nodes)
}
