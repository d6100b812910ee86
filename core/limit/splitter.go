package limit

import (
	"cmp"
	"slices"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
)

// Shares is the number of slots that one instance may use at each backend server.
type Shares map[ident.ServerID]ident.Slots

// Splitter divides the caps of a service between the instances that serve it. The shares of all
// instances at a server add up to its cap. The result depends on the arguments only, not on the order of
// the instances: instances with equal views agree without exchanging messages.
type Splitter interface {
	Split(s ident.ServiceName, caps []Cap, instances []place.Instance) map[ident.InstanceID]Shares
}

// Holders returns the instances with a share at the server in descending order of their shares.
// Instances with equal shares are in the given order.
func Holders(plan map[ident.InstanceID]Shares, instances []place.Instance, id ident.ServerID) []ident.InstanceID {
	var out []ident.InstanceID
	for _, n := range instances {
		if plan[n.ID][id] > 0 {
			out = append(out, n.ID)
		}
	}
	slices.SortStableFunc(out, func(a, b ident.InstanceID) int { return cmp.Compare(plan[b][id], plan[a][id]) })
	return out
}

// Owner returns the first of the holders, or "" when there is none. Only the owner sends calls to a
// server in warm-up until the server is warm.
func Owner(plan map[ident.InstanceID]Shares, instances []place.Instance, id ident.ServerID) ident.InstanceID {
	if h := Holders(plan, instances, id); len(h) > 0 {
		return h[0]
	}
	return ""
}

// EvenSplitter gives every instance slots at every server. Slots that remain after the even division go
// to instances in the server's placement order.
type EvenSplitter struct{}

// SingleInstanceSplitter gives all slots of a server to one instance: the first in the server's
// placement order that has quota left.
type SingleInstanceSplitter struct{}

// LocalFirstSplitter gives every instance the same number of slots of each version, first those of
// servers in its own failure domain. Few calls then cross domains, the loss of an instance together
// with its domain leaves the shares of the others unchanged, and every instance can send each version
// its share of calls. Instances choose in placement order, so an instance that replaces another takes
// few slots from the rest.
type LocalFirstSplitter struct{}

var (
	_ Splitter = EvenSplitter{}
	_ Splitter = SingleInstanceSplitter{}
	_ Splitter = LocalFirstSplitter{}
)

// Split implements Splitter.
func (EvenSplitter) Split(s ident.ServiceName, caps []Cap, instances []place.Instance) map[ident.InstanceID]Shares {
	out := newShares(instances)
	if len(instances) == 0 {
		return out
	}
	k := ident.Slots(len(instances))
	var rest ident.Slots
	for _, c := range caps {
		rest += c.Slots % k
	}
	quotas := newQuota(instances, rest)
	for _, c := range caps {
		for _, n := range instances {
			out[n.ID][c.Server] = c.Slots / k
		}
		for _, n := range quotas.choose(serverOrder(s, c, instances), int(c.Slots%k), 1) {
			out[n.ID][c.Server]++
		}
	}
	return out
}

// Split implements Splitter.
func (SingleInstanceSplitter) Split(s ident.ServiceName, caps []Cap, instances []place.Instance) map[ident.InstanceID]Shares {
	out := newShares(instances)
	var total ident.Slots
	for _, c := range caps {
		total += c.Slots
	}
	quotas := newQuota(instances, total)
	for _, c := range caps {
		for _, n := range quotas.choose(serverOrder(s, c, instances), 1, c.Slots) {
			out[n.ID][c.Server] = c.Slots
		}
	}
	return out
}

// Split implements Splitter.
func (LocalFirstSplitter) Split(s ident.ServiceName, caps []Cap, instances []place.Instance) map[ident.InstanceID]Shares {
	out := newShares(instances)
	versionQuotas := make(map[ident.VersionName]quota)
	for v, n := range slotsByVersion(caps) {
		versionQuotas[v] = newQuota(instances, n)
	}
	assign := func(c *Cap, n place.Instance) {
		quotas := versionQuotas[c.Version]
		k := max(0, min(c.Slots, quotas[n.ID]))
		if k > 0 {
			out[n.ID][c.Server] += k
		}
		quotas[n.ID] -= k
		c.Slots -= k
	}
	remaining, order := slices.Clone(caps), place.Order(string(s), instances)
	for i := range remaining {
		for _, n := range order {
			if n.Domain == remaining[i].Domain {
				assign(&remaining[i], n)
			}
		}
	}
	for i := range remaining {
		for _, n := range order {
			assign(&remaining[i], n)
		}
	}
	return out
}

// slotsByVersion returns the sum of the slots of each version.
func slotsByVersion(caps []Cap) map[ident.VersionName]ident.Slots {
	out := make(map[ident.VersionName]ident.Slots)
	for _, c := range caps {
		out[c.Version] += c.Slots
	}
	return out
}

// quota is the number of slots that each instance may still get. It bounds the imbalance of plain
// hashing (Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", 2018).
type quota map[ident.InstanceID]ident.Slots

// newQuota divides the slots evenly between the instances, rounded up.
func newQuota(instances []place.Instance, slots ident.Slots) quota {
	r := make(quota, len(instances))
	for _, n := range instances {
		r[n.ID] = (slots + ident.Slots(len(instances)) - 1) / ident.Slots(len(instances))
	}
	return r
}

// choose returns count instances in the given order, those with quota left before the others, and
// deducts the given number of slots from the quota of each.
func (q quota) choose(order []place.Instance, count int, slots ident.Slots) []place.Instance {
	out := make([]place.Instance, 0, count)
	for _, full := range []bool{false, true} {
		for _, n := range order {
			if len(out) < count && (q[n.ID] <= 0) == full {
				out = append(out, n)
			}
		}
	}
	for _, n := range out {
		q[n.ID] -= slots
	}
	return out
}

func newShares(instances []place.Instance) map[ident.InstanceID]Shares {
	out := make(map[ident.InstanceID]Shares, len(instances))
	for _, n := range instances {
		out[n.ID] = make(Shares)
	}
	return out
}

func serverOrder(s ident.ServiceName, c Cap, instances []place.Instance) []place.Instance {
	return place.Order(string(s)+"/"+string(c.Server), instances)
}
