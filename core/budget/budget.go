// Package budget decides how much callers, and others that the operators do not control, may make an instance hold: heads that
// are being read, parsed fields, bodies, requests read ahead, answers that are not taken, and connections. Under pressure it
// decides in this order: accept no more connections, read nothing ahead, refuse requests, close the connections that hold most
// for the longest time without progress. It is not safe for concurrent use.
package budget

import (
	"cmp"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// Cause is the reason for a measure.
type Cause int

// Causes.
const (
	// CauseMemory means that connections hold too much memory.
	CauseMemory Cause = iota
	// CauseConnections means that a class has all the connections that it may have.
	CauseConnections
)

//go:generate ../../bin/enumer -type=Cause -trimprefix=Cause -transform=lower -output=cause_enumer.go

// Victim is a connection that is to be closed.
type Victim struct {
	ID    ConnID
	Class Class
	Cause Cause
	Phase Phase
	// Held is the memory that the connection holds, Stalled the time since its last progress.
	Held    ident.Bytes
	Stalled time.Duration
}

// Budget is the budget of one instance.
type Budget struct {
	limits Limits
	next   ConnID
	conns  map[ConnID]*connection
	counts map[Class]int
	// callers and peers are the memory that is held, including that of the connections themselves.
	callers, peers ident.Bytes
	// long is the part of callers that are long bodies.
	long ident.Bytes
	// garbage is the memory of discarded heads that the garbage collector has not freed, and fresh the part of it since the last
	// batch.
	garbage, fresh ident.Bytes
}

// New returns a budget of which nothing is used.
func New(l Limits) *Budget {
	return &Budget{limits: l, conns: make(map[ConnID]*connection), counts: make(map[Class]int)}
}

// MayAccept returns whether a connection of the class may be accepted, and otherwise why not. Only calls wait for memory:
// an instance under pressure still answers readiness checks, lookups and other instances.
func (b *Budget) MayAccept(class Class) (Cause, bool) {
	switch {
	case b.counts[class] >= b.limits.Conns[class]:
		return CauseConnections, false
	case class == ClassCalls && b.crowded():
		return CauseMemory, false
	default:
		return 0, true
	}
}

// Open counts a connection that was accepted.
func (b *Budget) Open(now time.Time, class Class) ConnID {
	b.next++
	b.conns[b.next] = &connection{class: class, since: now, unused: true}
	b.counts[class]++
	*b.pool(class) += connCost
	return b.next
}

// Close gives back all that a connection holds. An unknown connection is ignored.
func (b *Budget) Close(id ConnID) {
	c, ok := b.conns[id]
	if !ok {
		return
	}
	if c.class.single() {
		b.discard(c)
	}
	for _, item := range ItemValues() {
		b.add(c, item, -c.held[item])
	}
	*b.pool(c.class) -= connCost
	b.counts[c.class]--
	delete(b.conns, id)
}

// Take reserves memory for n units of an item, and reports whether there is room. Nothing is reserved without room, or when
// the connection is not known.
func (b *Budget) Take(id ConnID, item Item, n int64) bool {
	c, ok := b.conns[id]
	if !ok {
		return false
	}
	cost, used := item.Cost(n), *b.pool(c.class)
	if c.class.single() && c.total+cost > smallHead {
		used += b.garbage
	}
	if cost > 0 && used+cost > b.limit(c.class, item) {
		return false
	}
	b.add(c, item, cost)
	return true
}

// Charge counts n units of an item that the instance holds already, even without room.
func (b *Budget) Charge(id ConnID, item Item, n int64) {
	if c, ok := b.conns[id]; ok {
		b.add(c, item, item.Cost(n))
	}
}

// Release gives back all that a connection holds of an item.
func (b *Budget) Release(id ConnID, item Item) {
	if c, ok := b.conns[id]; ok {
		b.add(c, item, -c.held[item])
	}
}

// Discard gives back the head of a request at an address for readiness checks, lookups or metrics. It is garbage until Collected.
// Without that, a crowd that reconnects while a collection is slow would take memory for any number of heads.
func (b *Budget) Discard(id ConnID) {
	c, ok := b.conns[id]
	if !ok {
		return
	}
	b.discard(c)
	b.Release(id, ItemHead)
	b.Release(id, ItemField)
}

// discard counts the head that a connection holds as garbage.
func (b *Budget) discard(c *connection) {
	n := c.held[ItemHead] + c.held[ItemField]
	b.garbage += n
	b.fresh += n
}

// NextBatch returns how much garbage there is since the last batch.
func (b *Budget) NextBatch() ident.Bytes {
	n := b.fresh
	b.fresh = 0
	return n
}

// Collected notes that the garbage collector has freed a batch.
func (b *Budget) Collected(n ident.Bytes) { b.garbage -= n }

// Garbage returns the memory of discarded heads that is not freed.
func (b *Budget) Garbage() ident.Bytes { return b.garbage }

// CollectionDue reports whether the garbage collector should run although the heap has not grown to its goal.
func (b *Budget) CollectionDue() bool {
	room := max(b.limits.Memory-b.callers, b.limits.Memory*(100-refusePercent)/100)
	return b.garbage*100 >= room*collectPercent
}

// Return gives back n units of an item, at most what the connection holds of it.
func (b *Budget) Return(id ConnID, item Item, n int64) {
	if c, ok := b.conns[id]; ok {
		b.add(c, item, -min(c.held[item], item.Cost(n)))
	}
}

func (b *Budget) add(c *connection, item Item, cost ident.Bytes) {
	before := c.long()
	c.held[item] += cost
	c.total += cost
	*b.pool(c.class) += cost
	if c.class != ClassPeers {
		b.long += c.long() - before
	}
}

// Enter notes that a connection is in a phase. A change of the phase is progress.
func (b *Budget) Enter(now time.Time, id ConnID, p Phase) {
	c, ok := b.conns[id]
	if !ok || c.phase == p {
		return
	}
	c.phase, c.unused = p, false
	c.since, c.moved = now, 0
}

// Progress notes that a connection received or sent n bytes.
func (b *Budget) Progress(now time.Time, id ConnID, n int64) {
	c, ok := b.conns[id]
	if !ok {
		return
	}
	if c.moved += n; c.moved >= progressQuantum {
		c.since, c.moved = now, 0
	}
}

// Level returns the pressure on the memory of callers.
func (b *Budget) Level() Level {
	switch {
	case b.fills(refusePercent):
		return LevelRefuse
	case b.fills(readPercent):
		return LevelRead
	case b.crowded():
		return LevelAccept
	default:
		return LevelNone
	}
}

// fills reports whether callers hold the part of their memory.
func (b *Budget) fills(percent ident.Bytes) bool { return b.callers*100 >= b.limits.Memory*percent }

// crowded reports whether callers hold so much beside long bodies that no more connections are accepted.
func (b *Budget) crowded() bool { return (b.callers-b.long)*100 >= b.limits.Memory*acceptPercent }

// MayReadAhead reports whether a request may be read before the earlier ones of its connection are answered.
func (b *Budget) MayReadAhead() bool { return b.Level() < LevelRead }

// Held returns the memory that callers and other instances hold.
func (b *Budget) Held() (callers, peers ident.Bytes) { return b.callers, b.peers }

// Conns returns the number of connections of a class.
func (b *Budget) Conns(class Class) int { return b.counts[class] }

// Victims returns the connections to close now, those that hold most for the longest time without progress first. It returns
// as many as it takes to end the pressure, and only connections without progress. The caller closes them.
func (b *Budget) Victims(now time.Time) []Victim {
	left := relief{
		conns: b.fullClasses(), callers: b.callers - b.limits.Memory*readPercent/100,
		short: b.callers - b.long - b.limits.Memory*acceptPercent/100, peers: b.peers - b.limits.PeerMemory*acceptPercent/100,
	}
	if !b.fills(refusePercent) {
		left.callers = -1
	}
	if left.none() {
		return nil
	}
	var out []Victim
	for _, v := range b.stalledConns(now) {
		if cause, ok := left.needs(v.Class); ok {
			v.Cause = cause
			out = append(out, v)
			left.close(v, b.conns[v.ID].long())
		}
	}
	return out
}

// Stalled reports whether the connection has made no progress for as long as its phase allows.
func (b *Budget) Stalled(now time.Time, id ConnID) bool {
	c, ok := b.conns[id]
	return ok && c.stalled(now, b.limits)
}

// relief is what must be given back to end the pressure. Amounts of memory are negative when there is no pressure.
type relief struct {
	conns                 map[Class]int
	callers, short, peers ident.Bytes
}

func (r *relief) none() bool { return len(r.conns) == 0 && r.callers < 0 && r.short < 0 && r.peers < 0 }

// needs reports whether it helps to close a connection of the class, and why it must be closed.
func (r *relief) needs(class Class) (Cause, bool) {
	memory := r.callers >= 0 || r.short >= 0
	if class == ClassPeers {
		memory = r.peers >= 0
	}
	if memory {
		return CauseMemory, true
	}
	return CauseConnections, r.conns[class] > 0
}

// close notes that a connection will be closed.
func (r *relief) close(v Victim, long ident.Bytes) {
	r.conns[v.Class]--
	if v.Class == ClassPeers {
		r.peers -= v.Held
		return
	}
	r.callers -= v.Held
	r.short -= v.Held - long
}

// freedPart is the part of its connections that a class without a free one closes at a time.
const freedPart = 2

// fullClasses returns the classes without a free connection, with the number of connections to close.
func (b *Budget) fullClasses() map[Class]int {
	out := make(map[Class]int)
	for class, limit := range b.limits.Conns {
		if b.counts[class] >= limit {
			out[class] = max(1, limit/freedPart)
		}
	}
	return out
}

// stalledConns returns the connections without progress, the one to close first at the front.
func (b *Budget) stalledConns(now time.Time) []Victim {
	type candidate struct {
		Victim
		weight float64
	}
	var list []candidate
	for id, c := range b.conns {
		if c.stalled(now, b.limits) {
			v := Victim{ID: id, Class: c.class, Phase: c.phase, Held: connCost + c.total, Stalled: now.Sub(c.since)}
			list = append(list, candidate{v, c.weight(now)})
		}
	}
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.ID, y.ID))
	})
	out := make([]Victim, len(list))
	for i, c := range list {
		out[i] = c.Victim
	}
	return out
}

// pool returns the memory that the connections of a class share with others.
func (b *Budget) pool(class Class) *ident.Bytes {
	if class == ClassPeers {
		return &b.peers
	}
	return &b.callers
}

// limit returns the limit up to which an item may fill the pool of a class.
func (b *Budget) limit(class Class, item Item) ident.Bytes {
	switch {
	case class == ClassPeers:
		return b.limits.PeerMemory
	case item == ItemBody || item == ItemAhead:
		return b.limits.Memory * refusePercent / 100
	default:
		return b.limits.Memory
	}
}

// HalfFull reports whether a class has half of the connections that it may have. Connections that only linger end at once
// then.
func (b *Budget) HalfFull(class Class) bool { return 2*b.counts[class] >= b.limits.Conns[class] }

// HeldBy returns the memory that a connection holds, 0 if it is not known.
func (b *Budget) HeldBy(id ConnID) ident.Bytes {
	c, ok := b.conns[id]
	if !ok {
		return 0
	}
	return connCost + c.total
}
