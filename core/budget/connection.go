package budget

import (
	"time"

	"goldcreststand.example/core/ident"
)

// ConnID identifies a connection that the budget knows.
type ConnID uint64

// Phase is what a connection is doing.
type Phase int

// Phases.
const (
	// PhaseIdle is the time before the first byte of a request.
	PhaseIdle Phase = iota
	// PhaseReceiving is the time until a request has arrived whole.
	PhaseReceiving
	// PhaseWorking is the time in which the instance or a server works on a request. The other side cannot make progress then.
	PhaseWorking
	// PhaseSending is the time in which the other side must take an answer.
	PhaseSending
)

//go:generate ../../bin/enumer -type=Phase -trimprefix=Phase -transform=lower -output=phase_enumer.go

// progressQuantum is the number of bytes that count as progress. A connection that moves a byte now and then makes none; one
// of 2 KB/s makes four times as much as Stall demands.
const progressQuantum = 512

// connection is the state of one connection.
type connection struct {
	class Class
	phase Phase
	held  [itemCount]ident.Bytes
	total ident.Bytes
	// since is the time of the last progress, and moved the number of bytes since then.
	since time.Time
	moved int64
	// unused reports that nothing was received on the connection.
	unused bool
}

// stalled returns whether a connection may be closed, because it has made no progress for long enough.
func (c *connection) stalled(now time.Time, l Limits) bool {
	allowed := l.Stall
	switch c.phase {
	case PhaseWorking:
		return false
	case PhaseIdle:
		if allowed = l.IdleStall; c.unused || c.class.single() {
			allowed = l.NewStall
		}
	case PhaseReceiving, PhaseSending:
	}
	return now.Sub(c.since) > allowed
}

// long returns the part of the connection's body beyond longBody.
func (c *connection) long() ident.Bytes { return max(0, c.held[ItemBody]-longBody) }

// weight orders connections that may be closed: the memory that one holds times the time for which it has not progressed.
func (c *connection) weight(now time.Time) float64 {
	return float64(connCost+c.total) * now.Sub(c.since).Seconds()
}
