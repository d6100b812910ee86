// Package place decides which instances serve a service.
package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"goldcreststand.example/core/ident"
)

// Node is a live instance that can serve services.
type Node struct {
	ID     ident.InstanceID
	Domain ident.DomainName
}

type candidate struct {
	node  Node
	score uint64
}

// Order returns all nodes in placement order for the key: by rendezvous hashing (Thaler and
// Ravishankar, "Using name-based mappings to increase hit rates", 1998), with the best node of each
// failure domain before the second-best of any.
func Order(key string, nodes []Node) []Node {
	cs := candidates(key, nodes)
	slices.SortFunc(cs, candidate.compare)
	return spread(cs)
}

func candidates(key string, nodes []Node) []candidate {
	cs := make([]candidate, len(nodes))
	for i, n := range nodes {
		cs[i] = candidate{node: n, score: score(key, n.ID)}
	}
	return cs
}

// compare orders candidates without regard to their failure domains.
func (c candidate) compare(o candidate) int {
	return cmp.Or(cmp.Compare(o.score, c.score), cmp.Compare(c.node.ID, o.node.ID))
}

// First returns the first count nodes in placement order for the key, without sorting the others.
func First(key string, nodes []Node, count int) []Node {
	if count >= len(nodes) {
		return Order(key, nodes)
	}
	cs := candidates(key, nodes)
	out := make([]Node, 0, count)
	for len(out) < count {
		best, least := 0, inDomain(out, cs[0].node.Domain)
		for i, c := range cs[1:] {
			r := inDomain(out, c.node.Domain)
			if r < least || r == least && c.compare(cs[best]) < 0 {
				best, least = i+1, r
			}
		}
		out = append(out, cs[best].node)
		cs = slices.Delete(cs, best, best+1)
	}
	return out
}

// inDomain returns the number of the nodes that are in the failure domain.
func inDomain(nodes []Node, d ident.DomainName) int {
	count := 0
	for _, n := range nodes {
		if n.Domain == d {
			count++
		}
	}
	return count
}

// Serving returns the first count nodes in placement order of the service.
func Serving(s ident.ServiceName, nodes []Node, count int) []Node {
	return First(string(s), nodes, count)
}

func score(key string, id ident.InstanceID) uint64 {
	d := xxhash.NewWithSeed(0)
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// spread orders the sorted candidates by their rank inside their failure domain.
func spread(cs []candidate) []Node {
	rank := make(map[ident.DomainName]int)
	byRank := make([][]Node, 0, 1)
	for _, c := range cs {
		r := rank[c.node.Domain]
		rank[c.node.Domain] = r + 1
		if r == len(byRank) {
			byRank = append(byRank, nil)
		}
		byRank[r] = append(byRank[r], c.node)
	}
	return slices.Concat(byRank...)
}
