package pool_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/pool"
)

// model is a reference model of the connections to one server.
type model struct {
	pool       *pool.Pool
	limits     pool.Limits
	now        time.Time
	verifiedAt map[pool.ConnID]time.Time
	busy       []pool.ConnID
	dialing    []pool.ConnID
}

func (m *model) handle(t *rapid.T, ev pool.Event) pool.Action {
	var last pool.Action
	for _, a := range m.pool.Handle(ev) {
		last = a
		switch a := a.(type) {
		case pool.ReuseConn:
			m.take(t, a.ID)
			verified := m.now.Sub(m.verifiedAt[a.ID]) < m.limits.VerifiedTTL
			require.Equal(t, verified, a.Verified)
		case pool.VerifyConn:
			m.take(t, a.ID)
		case pool.DialConn:
			require.NotContains(t, m.verifiedAt, a.ID, "identifier used twice")
			m.dialing = append(m.dialing, a.ID)
		case pool.CloseConn:
			m.requireIdle(t, a.ID)
			delete(m.verifiedAt, a.ID)
		}
	}
	require.LessOrEqual(t, len(m.dialing), m.limits.MaxDials)
	require.LessOrEqual(t, len(m.verifiedAt)+len(m.dialing), m.limits.MaxConns)
	require.Equal(t, len(m.verifiedAt)+len(m.dialing), m.pool.Open())
	return last
}

// requireIdle requires that the connection is open and idle.
func (m *model) requireIdle(t *rapid.T, id pool.ConnID) {
	require.Contains(t, m.verifiedAt, id, "closed connection used")
	require.NotContains(t, m.busy, id, "connection in use given to a second try")
}

func (m *model) take(t *rapid.T, id pool.ConnID) {
	m.requireIdle(t, id)
	m.busy = append(m.busy, id)
}

func pop(t *rapid.T, ids *[]pool.ConnID) pool.ConnID {
	i := rapid.IntRange(0, len(*ids)-1).Draw(t, "index")
	id := (*ids)[i]
	*ids = append((*ids)[:i:i], (*ids)[i+1:]...)
	return id
}

func (m *model) requestConn(t *rapid.T) {
	idempotent := rapid.Bool().Draw(t, "idempotent")
	switch a := m.handle(t, pool.ConnRequested{At: m.now, Idempotent: idempotent}).(type) {
	case pool.ReuseConn:
		require.True(t, idempotent || a.Verified, "connection that may be dead used for a call that is not idempotent")
	case pool.WaitForChange:
		require.True(t, len(m.verifiedAt) == len(m.busy), "waits although a connection is idle")
	}
}

// Guards against a connection used by two calls or after it was closed, against an unverified
// connection for a call that is not idempotent, and against more connections or dials than the limits.
func TestPoolAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := pool.DefaultLimits(rapid.IntRange(1, 5).Draw(t, "connections"))
		l.MaxDials = rapid.IntRange(1, 3).Draw(t, "dials")
		m := &model{pool: pool.New(l), limits: l, now: time.Unix(0, 0), verifiedAt: make(map[pool.ConnID]time.Time)}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"need": m.requestConn,
			"dialed": func(t *rapid.T) {
				if len(m.dialing) == 0 {
					return
				}
				id := pop(t, &m.dialing)
				if rapid.Bool().Draw(t, "fails") {
					m.handle(t, pool.DialFailed{ID: id})
					return
				}
				m.verifiedAt[id] = m.now
				m.busy = append(m.busy, id)
				m.handle(t, pool.DialSucceeded{ID: id})
			},
			"completed": func(t *rapid.T) {
				if len(m.busy) > 0 {
					id := pop(t, &m.busy)
					m.verifiedAt[id] = m.now
					m.handle(t, pool.ResponseCompleted{At: m.now, ID: id})
				}
			},
			"closed": func(t *rapid.T) {
				if len(m.busy) > 0 {
					id := pop(t, &m.busy)
					delete(m.verifiedAt, id)
					m.handle(t, pool.ConnClosed{At: m.now, ID: id, Silent: rapid.Bool().Draw(t, "silent")})
				}
			},
			"reap": func(t *rapid.T) {
				m.handle(t, pool.IdleCheckDue{At: m.now})
				for id, at := range m.verifiedAt {
					old := m.now.Sub(at) > m.limits.IdleTimeout
					require.False(t, old && !slices.Contains(m.busy, id), "expired idle connection %d not closed", id)
				}
			},
		})
	})
}

// Guards against using idle connections to a server one after another after a network fault has cut
// them off.
func TestSilentConnectionsCloseIdle(t *testing.T) {
	now := time.Unix(0, 0)
	p := pool.New(pool.DefaultLimits(8))
	for range 4 {
		p.Handle(pool.ConnRequested{At: now})
	}
	for id := pool.ConnID(1); id <= 4; id++ {
		p.Handle(pool.DialSucceeded{ID: id})
	}
	p.Handle(pool.ResponseCompleted{At: now, ID: 3})
	p.Handle(pool.ResponseCompleted{At: now, ID: 4})
	require.Empty(t, p.Handle(pool.ConnClosed{At: now, ID: 1, Silent: true}))
	require.Equal(t, []pool.Action{pool.CloseConn{ID: 3}, pool.CloseConn{ID: 4}}, p.Handle(pool.ConnClosed{At: now, ID: 2, Silent: true}))
	require.Zero(t, p.Open())
}

// Guards against idle connections that stay open beyond a reduced maximum.
func TestLowerMaxConnsClosesIdle(t *testing.T) {
	now := time.Unix(0, 0)
	p := pool.New(pool.DefaultLimits(4))
	for id := pool.ConnID(1); id <= 3; id++ {
		p.Handle(pool.ConnRequested{At: now})
		p.Handle(pool.DialSucceeded{ID: id})
	}
	for id := pool.ConnID(1); id <= 3; id++ {
		p.Handle(pool.ResponseCompleted{At: now, ID: id})
	}
	require.Equal(t, []pool.Action{pool.CloseConn{ID: 1}, pool.CloseConn{ID: 2}}, p.Handle(pool.MaxConnsChanged{MaxConns: 1}))
}
