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

// instant is a clock whose delays end at once.
type instant struct{ clockwork.Clock }

func (instant) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}

// model is a platform that holds one table and misbehaves as drawn: it loses requests and responses, lets a
// request take effect later, shows older versions, and lets other operators edit in between.
type model struct {
	t       *rapid.T
	history []*table.Table
	late    []func()
	edits   int
	calls   int
	cancel  context.CancelFunc
}

func (m *model) last() *table.Table {
	if len(m.history) == 0 {
		return &table.Table{Service: "inventory"}
	}
	return m.history[len(m.history)-1]
}

func (m *model) next(author string) *table.Table {
	m.edits++
	return m.last().ReplaceRows(nil, author, ident.EditID(fmt.Sprintf("%s-%d", author, m.edits)))
}

func (m *model) tag() plat.Tag {
	if len(m.history) == 0 {
		return ""
	}
	return plat.Tag(fmt.Sprint(len(m.history)))
}

func (m *model) around() {
	m.calls++
	if m.calls > 30 {
		m.cancel()
	}
	for range rapid.IntRange(0, 2).Draw(m.t, "others") {
		m.history = append(m.history, m.next("other"))
	}
	for len(m.late) > 0 && rapid.Bool().Draw(m.t, "land") {
		m.late[0]()
		m.late = m.late[1:]
	}
}

func (m *model) Get(_ context.Context, _ string, v any) (plat.Tag, error) {
	m.around()
	if rapid.IntRange(0, 4).Draw(m.t, "read") == 0 {
		return "", plat.ErrOutage.New("read failed")
	}
	n := len(m.history) - rapid.IntRange(0, min(2, len(m.history))).Draw(m.t, "stale")
	if n == 0 {
		return "", plat.ErrNotFound.New("absent")
	}
	*v.(*wire.Table) = *wire.FromTable(m.history[n-1])
	return plat.Tag(fmt.Sprint(n)), nil
}

func (m *model) Put(_ context.Context, _ string, tag plat.Tag, v any) (plat.Tag, error) {
	m.around()
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
		return "", plat.ErrUnknown.New("response lost")
	case "late":
		m.late = append(m.late, func() { _, _ = apply() })
		return "", plat.ErrUnknown.New("request delayed")
	case "dropped":
		return "", plat.ErrUnknown.New("request lost")
	case "limited":
		return "", plat.ErrLimited.Wrap(&plat.LimitedError{})
	case "outage":
		return "", plat.ErrOutage.New("connection refused")
	}
	return apply()
}

// Guards against an accepted edit that is reported as refused or is applied twice, an edit reported as
// refused that takes effect later, and accepted edits of others that get lost.
func TestWriteTellsTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := &model{t: t, cancel: cancel}
		w := plat.NewWriter(m, instant{}, plat.JudgeTable)
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
		for _, f := range m.late {
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
			case err == nil || !plat.ErrUnknown.Has(err):
				require.Zero(t, count(id), "an edit that was reported as refused took effect: %v", err)
			}
		}
		require.False(t, plat.ErrUnknown.Has(err) && plat.ErrConflict.Has(err))
	})
}

// Guards against a recognised edit that others have edited over, and a verdict that the table cannot bear.
func TestJudgeTable(t *testing.T) {
	mine := (&table.Table{}).ReplaceRows(nil, "mine", "mine")
	over := func(first *table.Table, n int) *wire.Table {
		for i := range n {
			first = first.ReplaceRows(nil, "other", ident.EditID(fmt.Sprintf("o%d", i)))
		}
		return wire.FromTable(first)
	}
	other := (&table.Table{}).ReplaceRows(nil, "other", "other")
	for _, c := range []struct {
		name   string
		stored *wire.Table
		want   plat.Verdict
	}{
		{"absent", nil, plat.Undecided},
		{"older", &wire.Table{}, plat.Undecided},
		{"same", over(mine, 0), plat.Applied},
		{"edited over", over(mine, 8), plat.Applied},
		{"edited over too often", over(mine, 9), plat.Unclear},
		{"by another", over(other, 0), plat.Refused},
		{"by others", over(other, 8), plat.Refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, plat.JudgeTable(c.stored, wire.FromTable(mine)))
		})
	}
}

// Guards against a rollout status that replaces a newer one or is written again when it is stored already.
func TestJudgeStatus(t *testing.T) {
	st := func(attempt ident.Attempt, o wire.StatusOutcome, stage int) *wire.Status {
		return &wire.Status{Attempt: attempt, Outcome: o, Stage: stage}
	}
	mine := st(2, wire.StatusOutcomeRunning, 3)
	for _, newer := range []*wire.Status{mine, st(2, wire.StatusOutcomeReverted, 0), st(3, wire.StatusOutcomeRunning, 0)} {
		require.Equal(t, plat.Applied, plat.JudgeStatus(newer, mine))
	}
	for _, older := range []*wire.Status{nil, st(2, wire.StatusOutcomeRunning, 2), st(1, wire.StatusOutcomeReverted, 9)} {
		require.Equal(t, plat.Undecided, plat.JudgeStatus(older, mine))
	}
	require.False(t, slices.Contains([]plat.Verdict{plat.Applied}, plat.JudgeStatus(&wire.Status{Outcome: "x"}, mine)))
}
