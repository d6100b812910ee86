package edge_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/route"
	"goldcreststand.example/core/spread"
)

// cancelCalls ends the server of callers as a stop does whose time has passed.
func (f *harness) cancelCalls() {
	ended, cancel := context.WithCancel(f.t.Context())
	cancel()
	require.Error(f.t, f.srv.srv.Shutdown(ended))
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(f.t, f.srv.srv.CancelCalls(ctx))
}

// requireStatuses requires that the next responses have the statuses, and that the last of them says that the connection ends.
func (p *pipeline) requireStatuses(want ...int) {
	for i, status := range want {
		resp, _ := p.next()
		require.Equal(p.f.t, status, resp.StatusCode)
		require.Equal(p.f.t, i == len(want)-1, resp.Close)
	}
	require.NoError(p.f.t, p.Close())
}

// Guards against calls that get no response when the time for a planned stop has passed: one at which a server is at work, one that was
// answered behind it, and some that were not sent to a server, which must not be sent any more.
func TestCallsInFlightAtEndOfStopAreAnswered(t *testing.T) {
	b := newBackend(t, "s1", func(w io.Writer, r *http.Request, in []byte) bool {
		return r.URL.Path == "/safe/hang" || respond(http.StatusOK, "")(w, r, in)
	})
	f := newHarness(t, b)
	f.setTimeout(20 * time.Second)
	p := newPipeline(f)
	p.get("/safe/hang", "/safe/1", "/unsafe/2", "/safe/3")
	// The response to the second call must have arrived: until then its outcome is unknown, as that of the first one is.
	require.Eventually(t, func() bool { return b.count() == 2 && f.recorder.count(route.ResultOK) == 1 }, 10*time.Second, time.Millisecond)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.cancelCalls()
	}()
	p.requireStatuses(http.StatusBadGateway, http.StatusOK, http.StatusServiceUnavailable, http.StatusServiceUnavailable)
	<-done
	require.Equal(t, 2, b.count())
	require.Equal(t, "stopping", f.cause())
}

// Guards against a call that waits for a server, and gets no response when the time for a planned stop has passed.
func TestCallWaitingForServerAtEndOfStopIsRejected(t *testing.T) {
	for name, byDeadline := range map[string]bool{"fixed": false, "by deadline": true} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, "s1", respond(http.StatusOK, ""))
			b.setLoad("4,0,4,100")
			f := newHarness(t, b)
			f.setTimeout(20 * time.Second)
			f.snap.WaitByDeadline = byDeadline
			p := newPipeline(f)
			p.get("/unsafe/1")
			time.Sleep(20 * time.Millisecond)
			done := make(chan struct{})
			go func() {
				defer close(done)
				f.cancelCalls()
			}()
			p.requireStatuses(http.StatusServiceUnavailable)
			<-done
			require.Zero(t, b.count())
			require.Equal(t, "stopping", f.cause())
		})
	}
}

// Guards against a call that is sent to a server late in a planned stop, although its deadline lies behind the end, because it was read
// before: it waited for its turn, or for its body. It would be canceled, and nobody would know whether it was executed.
func TestCallThatWasReadEarlyInStopIsRejectedLate(t *testing.T) {
	const open = 200 * time.Millisecond
	tests := []struct {
		name string
		// begin sends the part of the request that is read early, and end lets the call go on.
		begin, end func(p *pipeline, release chan struct{})
		want       []int
		calls      int
	}{
		{
			name:  "turn",
			begin: func(p *pipeline, _ chan struct{}) { p.get("/unsafe/first", "/unsafe/1") },
			end:   func(_ *pipeline, release chan struct{}) { close(release) },
			want:  []int{http.StatusOK, http.StatusServiceUnavailable}, calls: 1,
		},
		{
			name: "body",
			begin: func(p *pipeline, _ chan struct{}) {
				p.send("POST /unsafe/ HTTP/1.1\r\nHost: host.example\r\n" + fieldRequest + ": p\r\n" + fieldTimeout + ": 20000\r\nContent-Length: 4\r\n\r\nha")
			},
			end:  func(p *pipeline, _ chan struct{}) { p.send("lf") },
			want: []int{http.StatusServiceUnavailable},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			release := make(chan struct{})
			b := newBackend(t, "s1", holdFirst(release))
			f := newHarness(t, b)
			f.setTimeout(20 * time.Second)
			now := time.Now()
			f.snap.ShuttingDown, f.snap.Stop = true, spread.Stop{Since: now, Until: now.Add(3 * open)}
			p := newPipeline(f)
			tt.begin(p, release)
			time.Sleep(time.Until(now.Add(open * 5 / 4)))
			tt.end(p, release)
			p.requireStatuses(tt.want...)
			require.Equal(t, tt.calls, b.count())
			require.Equal(t, "stopping", f.cause())
		})
	}
}

// send sends a text.
func (p *pipeline) send(text string) {
	_, err := io.WriteString(p, text)
	require.NoError(p.f.t, err)
}
