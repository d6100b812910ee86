package pool_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/pool"
)

// model holds what a test knows of the connections to one server.
type model struct {
	pool    *pool.Pool
	limits  pool.Limits
	now     time.Time
	proved  map[pool.ConnID]time.Time
	busy    []pool.ConnID
	dialing []pool.ConnID
}

func (m *model) handle(t *rapid.T, ev pool.Event) pool.Action {
	var last pool.Action
	for _, a := range m.pool.Handle(ev) {
		last = a
		switch a := a.(type) {
		case pool.Reuse:
			m.take(t, a.ID)
			fresh := m.now.Sub(m.proved[a.ID]) < m.limits.Fresh
			require.Equal(t, fresh, a.Proved)
		case pool.Prove:
			m.take(t, a.ID)
		case pool.Dial:
			require.NotContains(t, m.proved, a.ID, "identifier used twice")
			m.dialing = append(m.dialing, a.ID)
		case pool.Close:
			m.check(t, a.ID)
			delete(m.proved, a.ID)
		}
	}
	require.LessOrEqual(t, len(m.dialing), m.limits.Dials)
	require.LessOrEqual(t, len(m.proved)+len(m.dialing), m.limits.Connections)
	require.Equal(t, len(m.proved)+len(m.dialing), m.pool.Open())
	return last
}

// check requires that the connection is open and idle.
func (m *model) check(t *rapid.T, id pool.ConnID) {
	require.Contains(t, m.proved, id, "closed connection used")
	require.NotContains(t, m.busy, id, "connection in use given to a second try")
}

func (m *model) take(t *rapid.T, id pool.ConnID) {
	m.check(t, id)
	m.busy = append(m.busy, id)
}

func pop(t *rapid.T, ids *[]pool.ConnID) pool.ConnID {
	i := rapid.IntRange(0, len(*ids)-1).Draw(t, "index")
	id := (*ids)[i]
	*ids = append((*ids)[:i:i], (*ids)[i+1:]...)
	return id
}

func (m *model) need(t *rapid.T) {
	idempotent := rapid.Bool().Draw(t, "idempotent")
	switch a := m.handle(t, pool.Need{At: m.now, Idempotent: idempotent}).(type) {
	case pool.Reuse:
		require.True(t, idempotent || a.Proved, "connection that may be dead used for a call that is not idempotent")
	case pool.Wait:
		require.True(t, len(m.proved) == len(m.busy), "waits although a connection is idle")
	}
}

// Guards against a connection used by two calls or after its close, against an unproved connection for
// a call that is not idempotent, and against more connections or dials than the limits.
func TestPoolAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := pool.DefaultLimits(rapid.IntRange(1, 5).Draw(t, "connections"))
		l.Dials = rapid.IntRange(1, 3).Draw(t, "dials")
		m := &model{pool: pool.New(l), limits: l, now: time.Unix(0, 0), proved: make(map[pool.ConnID]time.Time)}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"need": m.need,
			"dialed": func(t *rapid.T) {
				if len(m.dialing) == 0 {
					return
				}
				id := pop(t, &m.dialing)
				if rapid.Bool().Draw(t, "fails") {
					m.handle(t, pool.DialFailed{ID: id})
					return
				}
				m.proved[id] = m.now
				m.busy = append(m.busy, id)
				m.handle(t, pool.Dialed{ID: id})
			},
			"completed": func(t *rapid.T) {
				if len(m.busy) > 0 {
					id := pop(t, &m.busy)
					m.proved[id] = m.now
					m.handle(t, pool.Completed{At: m.now, ID: id})
				}
			},
			"closed": func(t *rapid.T) {
				if len(m.busy) > 0 {
					id := pop(t, &m.busy)
					delete(m.proved, id)
					m.handle(t, pool.Closed{At: m.now, ID: id, Silent: rapid.Bool().Draw(t, "silent")})
				}
			},
			"reap": func(t *rapid.T) {
				m.handle(t, pool.Reap{At: m.now})
				for id, at := range m.proved {
					old := m.now.Sub(at) > m.limits.Idle
					require.False(t, old && !slices.Contains(m.busy, id), "idle connection %d not reaped", id)
				}
			},
		})
	})
}

// Guards against trying the idle connections to a server one by one after a network event.
func TestSilentConnectionsCloseIdle(t *testing.T) {
	now := time.Unix(0, 0)
	p := pool.New(pool.DefaultLimits(8))
	for range 4 {
		p.Handle(pool.Need{At: now})
	}
	for id := pool.ConnID(1); id <= 4; id++ {
		p.Handle(pool.Dialed{ID: id})
	}
	p.Handle(pool.Completed{At: now, ID: 3})
	p.Handle(pool.Completed{At: now, ID: 4})
	require.Empty(t, p.Handle(pool.Closed{At: now, ID: 1, Silent: true}))
	require.Equal(t, []pool.Action{pool.Close{ID: 3}, pool.Close{ID: 4}}, p.Handle(pool.Closed{At: now, ID: 2, Silent: true}))
	require.Zero(t, p.Open())
}

// Guards against idle connections that stay open beyond a share that became smaller.
func TestResizedClosesIdle(t *testing.T) {
	now := time.Unix(0, 0)
	p := pool.New(pool.DefaultLimits(4))
	for id := pool.ConnID(1); id <= 3; id++ {
		p.Handle(pool.Need{At: now})
		p.Handle(pool.Dialed{ID: id})
	}
	for id := pool.ConnID(1); id <= 3; id++ {
		p.Handle(pool.Completed{At: now, ID: id})
	}
	require.Equal(t, []pool.Action{pool.Close{ID: 1}, pool.Close{ID: 2}}, p.Handle(pool.Resized{Connections: 1}))
}
