package http1_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/goldcreststand/internal/http1"
)

// endLog keeps the fields of the lines about connections that ended with unanswered requests.
type endLog struct {
	mu   sync.Mutex
	ends []logrus.Fields
}

// Failure keeps the line.
func (l *endLog) Failure(msg string, fields logrus.Fields) {
	if msg != "connection ended with requests that were not answered" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends = append(l.ends, fields)
}

func (l *endLog) wait(t *testing.T) logrus.Fields {
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.ends) > 0
	}, timeout, time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ends[0]
}

// Guards against a request without an answer that leaves no trace of who ended its connection.
func TestEndWithUnansweredRequestsIsLogged(t *testing.T) {
	for _, tt := range []struct {
		name, cause string
		end         func(c *caller, nc *lateConn, s *http1.Server)
	}{
		{name: "by the server", cause: "killed", end: func(_ *caller, _ *lateConn, s *http1.Server) { _ = s.Close() }},
		{name: "below the server", cause: "budget", end: func(_ *caller, nc *lateConn, _ *http1.Server) { _ = nc.Close() }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			started, canceled, l, m := make(chan struct{}), make(chan error, 1), new(endLog), new(http1.Metrics)
			s := newLateServer(t, handler(func(_ http.ResponseWriter, r *http.Request) {
				close(started)
				<-r.Context().Done()
				canceled <- r.Context().Err()
			}), http1.WithLog(l), http1.WithMetrics(m))
			c, nc := s.dial()
			c.get("/safe/1")
			receive(t, started)
			tt.end(c, nc, s.Server)
			f := l.wait(t)
			require.Error(t, receive(t, canceled))
			require.Equal(t, tt.cause, f["cause"])
			require.Equal(t, 1, f["calls"])
			require.Equal(t, "1", m.Unanswered.Get(tt.cause).String())
		})
	}
}

// Guards against the cause of a caller that leaves being lost: its calls end with it, and it is counted.
func TestCallsOfACallerThatLeavesEndWithTheCause(t *testing.T) {
	started, cause, m := make(chan struct{}), make(chan error, 1), new(http1.Metrics)
	c := newCaller(t, handler(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		cause <- context.Cause(r.Context())
	}), http1.WithMetrics(m))
	c.get("/safe/1")
	receive(t, started)
	require.NoError(t, c.Close())
	require.ErrorContains(t, receive(t, cause), "connection has ended: closed")
	require.Eventually(t, func() bool { return m.Unanswered.Get("closed") != nil }, timeout, time.Millisecond)
}

// Guards against lines about connections that ended after all their requests were answered.
func TestOrdinaryEndIsNotLogged(t *testing.T) {
	l := new(endLog)
	s, address := newServer(t, handler(echo), http1.WithLog(l))
	c := dial(t, address)
	c.get("/safe/1")
	require.Equal(t, []string{"/safe/1"}, c.bodies(1))
	require.NoError(t, s.Shutdown(t.Context()))
	c.requireEnd()
	require.Empty(t, l.ends)
}

// Guards against a connection that counts as ended within a request although it ended behind the response to its last one.
func TestEndThatTheCallerAskedForIsNotLogged(t *testing.T) {
	l, m := new(endLog), new(http1.Metrics)
	s, address := newServer(t, handler(echo), http1.WithLog(l), http1.WithMetrics(m))
	c := dial(t, address)
	c.send("GET /safe/1 HTTP/1.1\nHost: a\nConnection: close\n\n")
	c.requireLast("/safe/1")
	require.NoError(t, s.Shutdown(t.Context()))
	require.Empty(t, l.ends)
	require.Equal(t, "{}", m.Unanswered.String())
}
