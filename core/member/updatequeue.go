package member

import (
	"cmp"
	"math"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// update is a changed record that is to be gossiped.
type update struct {
	id   ident.InstanceID
	full bool
	sent int
}

// updateQueue holds the updates to be gossiped, at most one per instance, and the token bucket that limits them.
type updateQueue struct {
	items []update
	// tokens is the number of bytes that may be sent. It may be negative.
	tokens   ident.Bytes
	refilled time.Time
}

// add queues an update of the instance as not sent yet. It replaces a queued update of the instance.
func (q *updateQueue) add(id ident.InstanceID, full bool) {
	q.remove(id)
	q.items = slices.Insert(q.items, 0, update{id: id, full: full})
}

// addIfAbsent queues an update that other members find out by themselves. It is sent only twice. If an update
// of the instance is queued already, that one is kept with its number of transmissions.
func (q *updateQueue) addIfAbsent(id ident.InstanceID, limit int) {
	if !slices.ContainsFunc(q.items, func(u update) bool { return u.id == id }) {
		q.items = append(q.items, update{id: id, sent: limit - 2})
	}
}

func (q *updateQueue) remove(id ident.InstanceID) {
	q.items = slices.DeleteFunc(q.items, func(u update) bool { return u.id == id })
}

// refill adds tokens for the time that has passed.
func (q *updateQueue) refill(now time.Time, rate, burst ident.Bytes) {
	add := ident.Bytes(now.Sub(q.refilled).Seconds() * float64(rate))
	if add <= 0 {
		return
	}
	q.tokens = min(q.tokens+add, burst)
	// The fraction of a byte is kept for the next call: events may be less than a byte's time apart.
	q.refilled = q.refilled.Add(time.Duration(float64(add) / float64(rate) * float64(time.Second)))
}

// take returns the records for one message and counts them as sent: short ones first, then those sent least
// often, then the newest. Short records report failures; behind the full records of a fleet that has just
// started, they would wait longer than 8 s. Full records do not use the reserve. Records that were
// sent limit times are removed.
func (q *updateQueue) take(limit, room int, reserve ident.Bytes, find func(ident.InstanceID) (Record, bool)) []Record {
	if len(q.items) == 0 || room <= 0 {
		return nil
	}
	slices.SortStableFunc(q.items, func(a, b update) int {
		return cmp.Or(cmp.Compare(rank(a.full), rank(b.full)), cmp.Compare(a.sent, b.sent))
	})
	var out []Record
	for i := range q.items {
		u := &q.items[i]
		r, ok := find(u.id)
		if !ok {
			u.sent = math.MaxInt
			continue
		}
		if !u.full {
			r = r.Short()
		}
		allowance := q.tokens
		if u.full {
			allowance -= reserve
		}
		if len(out) == room || r.size() > allowance {
			break
		}
		q.tokens -= r.size()
		u.sent++
		out = append(out, r)
	}
	q.items = slices.DeleteFunc(q.items, func(u update) bool { return u.sent >= limit })
	return out
}

func rank(full bool) int {
	if full {
		return 1
	}
	return 0
}

// transmissions returns how many messages carry a record in a fleet of n instances.
func transmissions(factor, n int) int {
	return factor * max(1, int(math.Ceil(math.Log10(float64(n+1)))))
}
