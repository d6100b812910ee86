package dist_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/roster"
)

// Estimated sizes in bytes of a call to the platform with its headers, a call to a peer without its content, a
// revision with its key, a digest, a routing table of 20 rows, a list of 20 servers, and a rollout status.
const (
	callBytes       = 400
	fetchBytes      = 120
	revisionBytes   = 42
	digestBytes     = 20
	tableBytes      = 2200
	serverListBytes = 3400
	statusBytes     = 120
)

func gossipBytes(revisions []dist.ObjectRevision) int {
	return digestBytes + revisionBytes*len(revisions)
}

func objectBytes(o dist.Object) int {
	switch {
	case o.Table != nil:
		return tableBytes
	case o.ServerList != nil:
		return serverListBytes
	}
	return statusBytes
}

// BenchmarkFleet measures calls to the platform, pending watches, and bytes sent and received per
// instance, in virtual time: while nothing changes, and per edit of a routing table or server list.
func BenchmarkFleet(b *testing.B) {
	for _, services := range []int{10, 60, 110} {
		for _, instances := range []int{16, 60, 240} {
			b.Run(fmt.Sprintf("services=%d/instances=%d", services, instances), func(b *testing.B) {
				for range b.N {
					measure(b, services, instances)
				}
			})
		}
	}
}

func measure(b *testing.B, services, instances int) {
	const span = 2 * time.Minute
	s := newSim(1, instances, services)
	s.advance(time.Minute)
	calls, peer, platform := s.calls, s.peerBytes, s.platformBytes
	s.advance(span)
	n, secs := float64(instances), span.Seconds()
	idlePeer, idlePlatform := float64(s.peerBytes-peer), float64(s.platformBytes-platform)
	b.ReportMetric(float64(s.calls-calls)/secs, "calls/s")
	pending := 0
	for _, x := range s.instances {
		pending += x.core.PendingWatches()
	}
	b.ReportMetric(float64(pending), "watches")
	b.ReportMetric(2*idlePeer/n/secs, "peer-B/s/node")
	b.ReportMetric(idlePlatform/n/secs, "platform-B/s/node")
	calls, peer, platform = s.calls-calls, s.peerBytes, s.platformBytes
	before := s.calls
	const changes = 24
	for i := range changes {
		if svc := service(i % services); i%2 == 0 {
			s.edit(svc)
		} else {
			s.write(dist.FromServerList(&roster.ServerList{Service: svc, Revision: s.revision(dist.ServerListKey(svc)) + 1}))
		}
		s.advance(span / changes)
	}
	b.ReportMetric(float64(s.calls-before-calls)/changes, "calls/change")
	b.ReportMetric((float64(s.peerBytes-peer)-idlePeer)/changes, "peer-B/change")
	b.ReportMetric((float64(s.platformBytes-platform)-idlePlatform)/changes, "platform-B/change")
}

// BenchmarkTick measures the time for one tick of an instance at the design target.
func BenchmarkTick(b *testing.B) {
	c := dist.New("i0", dist.DefaultConfig(simServing), rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	instances := make([]place.Instance, 240)
	for i := range instances {
		instances[i] = place.Instance{ID: newID(i), Domain: newDomain(i)}
	}
	c.Handle(now, dist.MembersChanged{Members: instances})
	revisions := make([]dist.ObjectRevision, 110)
	for i := range revisions {
		revisions[i] = dist.ObjectRevision{Key: dist.TableKey(service(i)), Revision: 1}
	}
	c.Handle(now, dist.GossipReceived{From: "i1", Revisions: revisions})
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(simTick)
		c.Handle(now, dist.Tick{})
	}
}
