package hub

import (
	"strconv"
	"testing"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/roster"
)

// BenchmarkSnapshot measures building a snapshot for a large fleet, as on a change of members or servers.
func BenchmarkSnapshot(b *testing.B) {
	h := newHarness()
	for i := range 133 {
		m := member(ident.InstanceID("i" + strconv.Itoa(i)))
		m.Domain = ident.DomainName("d" + strconv.Itoa(i%4))
		h.members = append(h.members, m)
	}
	var entries []roster.ServiceServer
	for i := range 240 {
		entries = append(entries, entry(ident.ServerID("s"+strconv.Itoa(i)), "v1"))
	}
	h.list(true, entries...)
	b.ReportAllocs()
	for b.Loop() {
		h.snapshot()
	}
}
