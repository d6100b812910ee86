package place_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
)

func instances(n int) []place.Instance {
	out := make([]place.Instance, n)
	for i := range out {
		out[i] = place.Instance{
			ID:     ident.InstanceID(fmt.Sprintf("i%d", i)),
			Domain: ident.DomainName(fmt.Sprintf("d%d", i%4)),
		}
	}
	return out
}

// Guards against two serving instances in one failure domain while another domain has none.
func TestServingCoversFailureDomains(t *testing.T) {
	for _, s := range []ident.ServiceName{"inventory", "dispatch", "badging"} {
		seen := make(map[ident.DomainName]bool)
		for _, n := range place.ServingInstances(s, instances(16), 4) {
			seen[n.Domain] = true
		}
		require.Len(t, seen, 4)
	}
}

// Guards against a placement that depends on the order in which members became known, and against a changed order
// of the remaining instances when one leaves.
func TestOrderIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ns := instances(rapid.IntRange(2, 40).Draw(t, "instances"))
		key := rapid.StringMatching("[a-z]{1,8}").Draw(t, "key")
		order := place.Order(key, ns)
		count := rapid.IntRange(0, len(ns)).Draw(t, "count")
		require.Equal(t, order[:count], place.First(key, ns, count))
		require.Equal(t, order, place.Order(key, rapid.Permutation(ns).Draw(t, "permutation")))
		gone := rapid.SampledFrom(ns).Draw(t, "gone")
		before := place.ServingInstances(ident.ServiceName(key), ns, len(ns))
		var rest []place.Instance
		for _, n := range ns {
			if n != gone {
				rest = append(rest, n)
			}
		}
		after := place.Order(key, rest)
		require.Len(t, after, len(before)-1)
		sameDomain := func(xs []place.Instance, d ident.DomainName) (out []place.Instance) {
			for _, x := range xs {
				if x.Domain == d && x != gone {
					out = append(out, x)
				}
			}
			return out
		}
		for _, d := range []ident.DomainName{"d0", "d1", "d2", "d3"} {
			require.Equal(t, sameDomain(before, d), sameDomain(after, d))
		}
	})
}
