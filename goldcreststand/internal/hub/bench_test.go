package hub

import (
	"strconv"
	"testing"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/roster"
)

// BenchmarkView measures building a snapshot for a large fleet, as on a change of members or servers.
func BenchmarkView(b *testing.B) {
	s := newHarness()
	for i := range 133 {
		m := member(ident.InstanceID("i" + strconv.Itoa(i)))
		m.Domain = ident.DomainName("d" + strconv.Itoa(i%4))
		s.members = append(s.members, m)
	}
	var entries []roster.ServiceServer
	for i := range 240 {
		entries = append(entries, entry(ident.ServerID("s"+strconv.Itoa(i)), "v1"))
	}
	s.list(true, entries...)
	b.ReportAllocs()
	for b.Loop() {
		s.snapshot()
	}
}
