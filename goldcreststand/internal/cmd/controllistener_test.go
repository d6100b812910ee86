package cmd

import (
	"bufio"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/budget"
	"goldcreststand.example/goldcreststand/internal/intake"
)

type silentLog struct{}

func (silentLog) StateChange(string, logrus.Fields) {}

// Guards against requests that net/http answers itself, and whose heads stay counted: one connection at a control address would fill the memory of
// all callers.
func TestControlListenerReturnsWhatItCounts(t *testing.T) {
	metrics, vars := intake.NewMetrics(), new(expvar.Map).Init()
	metrics.Publish(vars)
	limits := budget.DefaultSettings().Limits(budget.Machine{Memory: 136 << 20, Files: 2870})
	gate := intake.New(limits, clockwork.NewRealClock(), silentLog{}, metrics)
	l := newControlListener(budget.ClassReadiness, "", http.NotFoundHandler())
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = sock.Close() })
	go func() { _ = l.srv.Serve(gate.Listener(sock, l.class)) }()
	held := func() int64 {
		var u struct {
			Callers int64 `json:"callers"`
		}
		require.NoError(t, json.Unmarshal([]byte(vars.Get("intake").String()), &u))
		return u.Callers
	}
	for _, request := range []string{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"} {
		nc, err := net.Dial("tcp", sock.Addr().String())
		require.NoError(t, err)
		require.NoError(t, nc.SetDeadline(time.Now().Add(10*time.Second)))
		br := bufio.NewReader(nc)
		for range 500 {
			_, _ = fmt.Fprint(nc, request)
			resp, err := http.ReadResponse(br, nil)
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			if resp.Close {
				break
			}
		}
		require.Eventually(t, func() bool { return held() < 32<<10 }, 3*time.Second, 10*time.Millisecond, "%s holds %d", request, held())
		_ = nc.Close()
		require.Eventually(t, func() bool { return held() == 0 }, 3*time.Second, 10*time.Millisecond)
	}
}
