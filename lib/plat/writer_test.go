package plat_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/plat"
	"goldcreststand.example/schema/wire"
)

// immediateClock is a clock whose timers fire immediately.
type immediateClock struct{ clockwork.Clock }

func (immediateClock) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}

// modelPlatform is a platform with one table and random faults: it loses requests and responses, delays writes,
// returns old versions, and interleaves edits by other operators.
type modelPlatform struct {
	t       *rapid.T
	history []*table.Table
	delayed []func()
	edits   int
	calls   int
	cancel  context.CancelFunc
}

func (m *modelPlatform) current() *table.Table {
	if len(m.history) == 0 {
		return &table.Table{Service: "inventory"}
	}
	return m.history[len(m.history)-1]
}

func (m *modelPlatform) edit(author string) *table.Table {
	m.edits++
	return m.current().ReplaceRows(nil, author, ident.EditID(fmt.Sprintf("%s-%d", author, m.edits)))
}

func (m *modelPlatform) tag() plat.Tag {
	if len(m.history) == 0 {
		return ""
	}
	return plat.Tag(fmt.Sprint(len(m.history)))
}

func (m *modelPlatform) interleave() {
	m.calls++
	if m.calls > 30 {
		m.cancel()
	}
	for range rapid.IntRange(0, 2).Draw(m.t, "others") {
		m.history = append(m.history, m.edit("other"))
	}
	for len(m.delayed) > 0 && rapid.Bool().Draw(m.t, "land") {
		m.delayed[0]()
		m.delayed = m.delayed[1:]
	}
}

func (m *modelPlatform) Get(_ context.Context, _ string, v any) (plat.Tag, error) {
	m.interleave()
	if rapid.IntRange(0, 4).Draw(m.t, "read") == 0 {
		return "", plat.ErrUnavailable.New("read failed")
	}
	n := len(m.history) - rapid.IntRange(0, min(2, len(m.history))).Draw(m.t, "stale")
	if n == 0 {
		return "", plat.ErrNotFound.New("absent")
	}
	*v.(*wire.Table) = *wire.FromTable(m.history[n-1])
	return plat.Tag(fmt.Sprint(n)), nil
}

func (m *modelPlatform) Put(_ context.Context, _ string, tag plat.Tag, v any) (plat.Tag, error) {
	m.interleave()
	apply := func() (plat.Tag, error) {
		if tag != m.tag() {
			return "", plat.ErrConflict.New("changed")
		}
		m.history = append(m.history, v.(*wire.Table).Core())
		return m.tag(), nil
	}
	switch rapid.SampledFrom([]string{"ok", "ok", "lost", "late", "dropped", "limited", "outage"}).Draw(m.t, "write") {
	case "lost":
		_, _ = apply()
		return "", plat.ErrUnknownOutcome.New("response lost")
	case "late":
		m.delayed = append(m.delayed, func() { _, _ = apply() })
		return "", plat.ErrUnknownOutcome.New("request delayed")
	case "dropped":
		return "", plat.ErrUnknownOutcome.New("request lost")
	case "limited":
		return "", plat.ErrRateLimited.Wrap(&plat.RateLimitError{})
	case "outage":
		return "", plat.ErrUnavailable.New("connection refused")
	}
	return apply()
}

// Guards against an accepted edit that is reported as rejected or applied twice, an edit reported as rejected
// that takes effect later, and lost edits of other operators.
func TestReportedWriteOutcomeIsCorrect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := &modelPlatform{t: t, cancel: cancel}
		w := plat.NewWriter(m, immediateClock{}, plat.TableWriteOutcome)
		var tried []ident.EditID
		got, err := w.Update(ctx, "tables/inventory", func(old *wire.Table) (*wire.Table, error) {
			tb := &table.Table{Service: "inventory"}
			if old != nil {
				tb = old.Core()
			}
			m.edits++
			id := ident.EditID(fmt.Sprintf("mine-%d", m.edits))
			tried = append(tried, id)
			return wire.FromTable(tb.ReplaceRows(nil, "mine", id)), nil
		})
		for _, f := range m.delayed {
			f()
		}
		for i, h := range m.history {
			require.EqualValues(t, i+1, h.Revision, "an accepted edit was lost")
		}
		count := func(id ident.EditID) (n int) {
			for _, h := range m.history {
				if h.Edit == id {
					n++
				}
			}
			return n
		}
		for i, id := range tried {
			switch {
			case err == nil && i == len(tried)-1:
				require.Equal(t, id, got.Edit)
				require.Equal(t, 1, count(id))
			case err == nil || !plat.ErrUnknownOutcome.Has(err):
				require.Zero(t, count(id), "an edit that was reported as rejected took effect: %v", err)
			}
		}
		require.False(t, plat.ErrUnknownOutcome.Has(err) && plat.ErrConflict.Has(err))
	})
}

// Guards against edits that are not recognised after later edits, and against a definite outcome when the table no
// longer lists the edit.
func TestTableWriteOutcome(t *testing.T) {
	mine := (&table.Table{}).ReplaceRows(nil, "mine", "mine")
	editedOver := func(first *table.Table, n int) *wire.Table {
		for i := range n {
			first = first.ReplaceRows(nil, "other", ident.EditID(fmt.Sprintf("o%d", i)))
		}
		return wire.FromTable(first)
	}
	other := (&table.Table{}).ReplaceRows(nil, "other", "other")
	for _, c := range []struct {
		name   string
		stored *wire.Table
		want   plat.WriteOutcome
	}{
		{"absent", nil, plat.WritePending},
		{"older", &wire.Table{}, plat.WritePending},
		{"same", editedOver(mine, 0), plat.WriteApplied},
		{"later edits", editedOver(mine, 8), plat.WriteApplied},
		{"too many later edits", editedOver(mine, 9), plat.WriteIndeterminate},
		{"by another", editedOver(other, 0), plat.WriteRejected},
		{"by others", editedOver(other, 8), plat.WriteRejected},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, plat.TableWriteOutcome(c.stored, wire.FromTable(mine)))
		})
	}
}

// Guards against a rollout status that replaces a newer one or is written again although it is already stored.
func TestStatusWriteOutcome(t *testing.T) {
	st := func(attempt ident.Attempt, o wire.StatusOutcome, stage int) *wire.Status {
		return &wire.Status{Attempt: attempt, Outcome: o, Stage: stage}
	}
	mine := st(2, wire.StatusOutcomeRunning, 3)
	for _, newer := range []*wire.Status{mine, st(2, wire.StatusOutcomeReverted, 0), st(3, wire.StatusOutcomeRunning, 0)} {
		require.Equal(t, plat.WriteApplied, plat.StatusWriteOutcome(newer, mine))
	}
	for _, older := range []*wire.Status{nil, st(2, wire.StatusOutcomeRunning, 2), st(1, wire.StatusOutcomeReverted, 9)} {
		require.Equal(t, plat.WritePending, plat.StatusWriteOutcome(older, mine))
	}
	require.False(t, slices.Contains([]plat.WriteOutcome{plat.WriteApplied}, plat.StatusWriteOutcome(&wire.Status{Outcome: "x"}, mine)))
}
