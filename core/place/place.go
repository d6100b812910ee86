// Package place decides which instances serve a service.
package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"goldcreststand.example/core/ident"
)

// Instance is a live goldcreststand instance that can serve services.
type Instance struct {
	ID     ident.InstanceID
	Domain ident.DomainName
}

type candidate struct {
	instance Instance
	score    uint64
}

// Order returns all instances in placement order for the key. It uses rendezvous hashing (Thaler and
// Ravishankar, "Using name-based mappings to increase hit rates", 1998) and puts the best instance of each
// failure domain before the second-best of any.
func Order(key string, instances []Instance) []Instance {
	cs := candidates(key, instances)
	slices.SortFunc(cs, candidate.compare)
	return interleaveDomains(cs)
}

func candidates(key string, instances []Instance) []candidate {
	cs := make([]candidate, len(instances))
	for i, n := range instances {
		cs[i] = candidate{instance: n, score: score(key, n.ID)}
	}
	return cs
}

// compare orders candidates by score, without regard to failure domains.
func (c candidate) compare(o candidate) int {
	return cmp.Or(cmp.Compare(o.score, c.score), cmp.Compare(c.instance.ID, o.instance.ID))
}

// First returns the first count instances in placement order for the key, without sorting the others.
func First(key string, instances []Instance, count int) []Instance {
	if count >= len(instances) {
		return Order(key, instances)
	}
	cs := candidates(key, instances)
	out := make([]Instance, 0, count)
	for len(out) < count {
		best, least := 0, countInDomain(out, cs[0].instance.Domain)
		for i, c := range cs[1:] {
			r := countInDomain(out, c.instance.Domain)
			if r < least || r == least && c.compare(cs[best]) < 0 {
				best, least = i+1, r
			}
		}
		out = append(out, cs[best].instance)
		cs = slices.Delete(cs, best, best+1)
	}
	return out
}

// countInDomain returns how many of the instances are in the failure domain.
func countInDomain(instances []Instance, d ident.DomainName) int {
	count := 0
	for _, n := range instances {
		if n.Domain == d {
			count++
		}
	}
	return count
}

// ServingInstances returns the first count instances in placement order of the service.
func ServingInstances(s ident.ServiceName, instances []Instance, count int) []Instance {
	return First(string(s), instances, count)
}

func score(key string, id ident.InstanceID) uint64 {
	d := xxhash.NewWithSeed(0)
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// interleaveDomains orders the sorted candidates by their rank within their failure domain.
func interleaveDomains(cs []candidate) []Instance {
	rank := make(map[ident.DomainName]int)
	byRank := make([][]Instance, 0, 1)
	for _, c := range cs {
		r := rank[c.instance.Domain]
		rank[c.instance.Domain] = r + 1
		if r == len(byRank) {
			byRank = append(byRank, nil)
		}
		byRank[r] = append(byRank[r], c.instance)
	}
	return slices.Concat(byRank...)
}
