package dist

import (
	"math/bits"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// fetchState is the state of fetching one object from peers.
type fetchState struct {
	call    CallID
	tries   int
	nextTry time.Time
}

// peerCall is a call to a peer that has not ended.
type peerCall struct {
	to       ident.InstanceID
	deadline time.Time
	keys     []Key
	compare  bool
	notice   *notice
}

// notice holds revisions to announce to one peer, which has not confirmed them yet.
type notice struct {
	to        ident.InstanceID
	revisions []ObjectRevision
	tries     int
	nextTry   time.Time
}

// comparison is the state of the comparison of digests.
type comparison struct {
	// done is set after the first comparison has succeeded.
	done    bool
	pending bool
	nextTry time.Time
	// differSince is the time since which the digests of all peers have differed, or zero.
	differSince time.Time
	failures    int
}

// learnRevision records a revision received from an instance, and reports whether it was unknown before.
func (c *Core) learnRevision(rev ObjectRevision, from ident.InstanceID) bool {
	if rev.Key.Kind == KindCatalog {
		return false
	}
	e, ok := c.entries[rev.Key]
	known := ok && (e.knownRevision > 0 || rev.Key.Kind == KindTable)
	if known && rev.Revision <= e.knownRevision || rev.Revision == 0 && rev.Key.Kind != KindTable {
		return false
	}
	if rev.Key.Kind == KindTable {
		c.addService(rev.Key.Service())
	}
	e = c.entry(rev.Key)
	if rev.Key.Kind != KindReachability {
		if known {
			c.toggleInDigest(rev.Key, e.knownRevision)
		}
		c.toggleInDigest(rev.Key, rev.Revision)
	}
	e.knownRevision, e.sender = rev.Revision, from
	e.remainingSends = 3 * bits.Len(uint(len(c.members)))
	if rev.Key.Kind == KindReachability {
		c.learnReport(e, from)
	}
	return true
}

func (c *Core) toggleInDigest(k Key, r ident.Revision) {
	d, b := digestPart(k, r)
	c.buckets[b] ^= d
}

// Digest returns the digest over all revisions that this instance knows.
func (c *Core) Digest() Digest {
	var d Digest
	for i, b := range c.buckets {
		d ^= Digest(bits.RotateLeft64(uint64(b), i))
	}
	return d
}

// Gossip returns the revisions and the digest for the next heartbeat. Revisions that were sent least often come
// first. Each is sent a number of times that grows with the logarithm of the number of instances.
func (c *Core) Gossip() ([]ObjectRevision, Digest) {
	var queued []*entry
	for _, e := range c.sorted {
		if e.remainingSends > 0 {
			queued = append(queued, e)
		}
	}
	slices.SortStableFunc(queued, func(a, b *entry) int { return b.remainingSends - a.remainingSends })
	queued = queued[:min(MaxGossipRevisions, len(queued))]
	revisions := make([]ObjectRevision, len(queued))
	for i, e := range queued {
		e.remainingSends--
		revisions[i] = ObjectRevision{Key: e.key, Revision: e.knownRevision}
	}
	return revisions, c.Digest()
}

func (ev GossipReceived) apply(c *Core) {
	for _, rev := range ev.Revisions {
		c.learnRevision(rev, ev.From)
	}
	switch {
	case ev.Digest == c.Digest():
		c.comparison.differSince = time.Time{}
	case c.comparison.differSince.IsZero():
		c.comparison.differSince = c.now
	case c.now.Sub(c.comparison.differSince) >= c.cfg.ComparisonDelay && c.now.After(c.comparison.nextTry):
		c.startComparison(ev.From)
	}
}

// stepComparison starts a comparison with a random peer until the first one has succeeded.
func (c *Core) stepComparison() {
	if c.comparison.done || c.comparison.pending || c.now.Before(c.comparison.nextTry) || len(c.members) < 2 {
		return
	}
	n := c.members[c.rng.IntN(len(c.members))]
	if !c.isSelf(n) {
		c.startComparison(n.ID)
	}
}

func (c *Core) startComparison(to ident.InstanceID) {
	if c.comparison.pending {
		return
	}
	c.comparison.pending = true
	c.comparison.nextTry = c.now.Add(c.backoff(1, c.cfg.ComparisonDelay))
	c.callPeer(&peerCall{to: to, compare: true}, Request{Buckets: slices.Clone(c.buckets[:])})
}

func (c *Core) callPeer(pc *peerCall, r Request) {
	call := c.nextCall()
	pc.deadline = c.now.Add(c.cfg.PeerTimeout)
	c.peerCalls[call] = pc
	for _, k := range pc.keys {
		c.entries[k].fetch.call = call
	}
	c.emit(CallPeer{To: pc.to, Call: call, Request: r})
}

// buildReply returns the requested objects and revisions that this instance has.
func (c *Core) buildReply(r Request) Reply {
	var out Reply
	rows := 0
	for _, rev := range r.Wanted[:min(MaxWanted, len(r.Wanted))] {
		e, ok := c.entries[rev.Key]
		if !ok || e.object == nil || (e.object.Revision <= rev.Revision && rev.Revision > 0) {
			continue
		}
		// The peer requests omitted objects again.
		if rows += e.object.rowCount(); rows > maxReplyRows && len(out.Objects) > 0 {
			break
		}
		out.Objects = append(out.Objects, *e.object)
	}
	if len(r.Buckets) != DigestBuckets {
		return out
	}
	for _, e := range c.sorted {
		_, b := digestPart(e.key, e.knownRevision)
		shared := e.knownRevision > 0 || e.key.Kind == KindTable
		if len(out.Revisions) == maxReplyRevisions {
			break
		}
		if shared && (e.key.Kind == KindReachability || c.buckets[b] != r.Buckets[b]) {
			out.Revisions = append(out.Revisions, ObjectRevision{Key: e.key, Revision: e.knownRevision})
		}
	}
	return out
}

func (ev ReplyReceived) apply(c *Core) {
	for _, rev := range ev.Reply.Revisions {
		if c.learnRevision(rev, ev.From) {
			// Most instances know the revision already. The others learn it by comparisons of their own.
			e := c.entries[rev.Key]
			e.remainingSends = min(e.remainingSends, comparisonSends)
		}
	}
	for _, o := range ev.Reply.Objects {
		c.applyObject(o, ev.From)
	}
	pc, ok := c.peerCalls[ev.Call]
	if !ok {
		return
	}
	if pc.compare {
		c.comparison.done, c.comparison.failures = true, 0
	}
	c.endPeerCall(ev.Call, pc)
}

func (ev PeerCallFailed) apply(c *Core) {
	if pc, ok := c.peerCalls[ev.Call]; ok {
		c.failPeerCall(ev.Call, pc)
	}
}

func (c *Core) failPeerCall(call CallID, pc *peerCall) {
	if pc.compare {
		c.comparison.failures++
		c.comparison.nextTry = c.now.Add(c.backoff(c.comparison.failures, c.cfg.BackoffCap))
	}
	if n := pc.notice; n != nil && n.tries < maxNoticeTries {
		n.nextTry = c.now.Add(c.jitter(c.cfg.BackoffBase))
		c.notices = append(c.notices, *n)
	}
	c.endPeerCall(call, pc)
}

// endPeerCall removes the call. Objects that it did not return are requested from another peer. The delay
// before that grows only after several tries, because another peer is likely to have them.
func (c *Core) endPeerCall(call CallID, pc *peerCall) {
	delete(c.peerCalls, call)
	if pc.compare {
		c.comparison.pending = false
	}
	for _, k := range pc.keys {
		e := c.entries[k]
		if e.fetch.call != call {
			continue
		}
		e.fetch.call = 0
		if c.needsFetch(e) {
			e.fetch.tries++
			e.fetch.nextTry = c.now.Add(c.backoff(max(1, e.fetch.tries-fastTries), c.cfg.BackoffCap))
		}
	}
}

// needsFetch reports whether the instance keeps the object and lacks its known revision.
func (c *Core) needsFetch(e *entry) bool {
	switch e.key.Kind {
	case KindReachability, KindCatalog:
		return false
	case KindTable, KindStatus, KindServerList:
	}
	return (e.serves || e.watches) && e.knownRevision > 0 && (e.object == nil || e.object.Revision < e.knownRevision)
}

// stepFetch fails calls that have timed out, and requests the versions that the instance lacks from peers.
func (c *Core) stepFetch() {
	for _, call := range c.timedOutCalls() {
		c.failPeerCall(call, c.peerCalls[call])
	}
	wants := make(map[ident.InstanceID][]ObjectRevision)
	var to []ident.InstanceID
	for _, e := range c.sorted {
		if !c.needsFetch(e) || e.fetch.call != 0 || c.now.Before(e.fetch.nextTry) {
			continue
		}
		p, ok := c.choosePeer(e)
		if !ok {
			continue
		}
		rev := ObjectRevision{Key: e.key}
		if e.object != nil {
			rev.Revision = e.object.Revision
		}
		if len(wants[p]) == 0 {
			to = append(to, p)
		}
		wants[p] = append(wants[p], rev)
	}
	for _, p := range to {
		for part := range slices.Chunk(wants[p], MaxWanted) {
			pc := &peerCall{to: p}
			for _, rev := range part {
				pc.keys = append(pc.keys, rev.Key)
			}
			c.callPeer(pc, Request{Wanted: part})
		}
	}
}

func (c *Core) timedOutCalls() []CallID {
	var out []CallID
	for call, pc := range c.peerCalls {
		if !c.now.Before(pc.deadline) {
			out = append(out, call)
		}
	}
	slices.Sort(out)
	return out
}

// choosePeer returns the peer to request the object from: first the sender of the revision, then the instances
// that serve the object. Every third try goes to a random instance, because after a change of members an
// instance that no longer serves the object may have it.
func (c *Core) choosePeer(e *entry) (ident.InstanceID, bool) {
	var ids []ident.InstanceID
	order := c.services[e.key.Service()]
	for i, n := range order {
		switch {
		case c.isSelf(n):
		case n.ID == e.sender:
			ids = slices.Insert(ids, 0, n.ID)
		case i < c.cfg.ServingInstances:
			ids = append(ids, n.ID)
		}
	}
	if e.fetch.tries%3 == 2 && len(order) > 0 {
		if n := order[c.rng.IntN(len(order))]; !c.isSelf(n) {
			return n.ID, true
		}
	}
	if len(ids) == 0 {
		return "", false
	}
	return ids[e.fetch.tries%len(ids)], true
}

// notifyServing announces the revisions to the other instances that serve the service.
func (c *Core) notifyServing(revisions []ObjectRevision, s ident.ServiceName) {
	order := c.services[s]
	var to []ident.InstanceID
	for _, n := range order[:min(c.cfg.ServingInstances, len(order))] {
		to = append(to, n.ID)
	}
	c.notifyPeers(to, revisions)
}

// notifyPeers announces the revisions to the instances directly, because the time that gossip takes grows with
// the fleet.
func (c *Core) notifyPeers(to []ident.InstanceID, revisions []ObjectRevision) {
	slices.Sort(to)
	for _, id := range slices.Compact(to) {
		if id != c.self {
			c.notices = append(c.notices, notice{to: id, revisions: revisions, nextTry: c.now})
		}
	}
}

func (c *Core) stepNotices() {
	rest := c.notices[:0]
	for _, n := range c.notices {
		if c.now.Before(n.nextTry) {
			rest = append(rest, n)
			continue
		}
		n.tries++
		c.callPeer(&peerCall{to: n.to, notice: &n}, Request{Announced: n.revisions})
	}
	c.notices = rest
}
