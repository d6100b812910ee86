package proxy_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against sequences of server faults on reused connections after which a non-idempotent call is executed
// twice, an executed call is reported as not executed, a caller gets the response of another call, or a slot is
// lost.
func TestAnyOrderOfFaults(t *testing.T) {
	faults := []string{respOK, respOK, respOK, respShed, respClose, respShort, respChunk, respFailed, resp1xx, respTwice, respDrain, respSilent}
	var next atomic.Pointer[[]string]
	script := func(string) string {
		q := *next.Load()
		if len(q) == 0 {
			return respOK
		}
		rest := q[1:]
		next.Store(&rest)
		return q[0]
	}
	backends := []*backend{newBackend(t, script), newBackend(t, script), newBackend(t, script)}
	svc := localServiceFor(backends...)
	s := newInstance(t, svc)
	call := 0
	rapid.Check(t, func(rt *rapid.T) {
		for range rapid.IntRange(1, 6).Draw(rt, "calls") {
			queue := rapid.SliceOfN(rapid.SampledFrom(faults), 0, 4).Draw(rt, "faults")
			next.Store(&queue)
			call++
			path := fmt.Sprintf("/c/%d", call)
			headers := []string{"Idempotency-Key", path}
			if slices.Contains(queue, respSilent) {
				headers = append(headers, "Request-Timeout", "30")
			}
			idempotent := rapid.Bool().Draw(rt, "idempotent")
			if idempotent {
				headers = append(headers, "Idempotent", "?1")
			}
			got := request(s, http.MethodPost, path, strings.NewReader(rapid.SampledFrom([]string{"", "a"}).Draw(rt, "body")), headers...)
			executed := 0
			for _, b := range backends {
				executed += b.count(path)
			}
			if !idempotent {
				require.LessOrEqual(rt, executed, 1, "executed twice: %v", got)
			}
			switch {
			case got.err != nil:
				require.Positive(rt, executed)
			case strings.Contains(got.proxy, rejected):
				require.Zero(rt, executed, "rejected, but executed")
			case got.status == http.StatusOK:
				require.Equal(rt, path, got.body)
			default:
				require.True(rt, got.status == 500 || strings.Contains(got.proxy, unknown), "%v", got)
			}
		}
	})
	for _, x := range svc.Servers {
		require.Eventually(t, func() bool { return x.Load.Inflight() == 0 }, callerTimeout, time.Millisecond, "slot lost")
	}
}
