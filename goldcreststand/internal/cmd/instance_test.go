package cmd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/budget"
	"goldcreststand.example/goldcreststand/internal/hub"
)

// Guards against a planned stop that ends without a shutdown, so that calls which were read are cut off, because control takes no
// event: control may stand still for as long as the grace time.
func TestLeaveAnswersCallsThoughControlTakesNoEvent(t *testing.T) {
	_, store := newTestStore(t)
	s := newSite(t, store, new(transcript))
	s.inst.settings.Bounds.Grace = 2
	fillCtx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	for s.inst.loop.Post(fillCtx, hub.PingReceived{}) == nil {
	}
	require.NoError(t, s.inst.listen(t.Context(), make(chan error, maxListeners)))
	c := startKeptCallers(t, s.inst.settings.Listen.Traffic.String())
	start := time.Now()
	err := s.inst.leave()
	took := time.Since(start)
	c.cutOff()
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Zero(t, c.lost.Load())
	require.Less(t, took, 2*time.Second)
}

// Guards against the failure of one listener that cuts off the calls at the others.
func TestFailedListenerOfInstanceEndsAfterShutdown(t *testing.T) {
	store, address := newTestStore(t)
	store.put("servers", "s1", fmt.Sprintf(`{"service":"one","address":%q,"zone":"z","version":"v1","slots":4,"state":"ready"}`, recordingServer(t, new(transcript))))
	putOrganisations(store, 1, `[]`)
	s := newSite(t, address, new(transcript))
	s.inst.settings.Bounds.Grace = 2
	fail := make(failingServer)
	s.inst.httpListeners = append(s.inst.httpListeners, &listener{address: "127.0.0.1:0", class: budget.ClassMetrics, srv: fail})
	ended := s.start()
	s.awaitReady()
	c := startKeptCallers(t, s.inst.settings.Listen.Traffic.String())
	close(fail)
	err := <-ended
	c.cutOff()
	require.ErrorIs(t, err, errListenerFailed)
	require.Zero(t, c.lost.Load())
}

// Guards against a start that fails when callers are already served, whose calls would be cut off.
func TestInstanceServesNoCallsUnlessAllAddressesAreFree(t *testing.T) {
	_, store := newTestStore(t)
	s := newSite(t, store, new(transcript))
	taken, err := net.Listen("tcp", s.inst.settings.Self().Peer.String())
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	require.ErrorIs(t, <-s.start(), syscall.EADDRINUSE)
	_, err = net.Dial("tcp", s.inst.settings.Listen.Traffic.String())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}

// Guards against a planned stop that cuts off a lookup, or a request for metrics, which was read.
func TestLeaveAnswersRequestsAtControlListeners(t *testing.T) {
	_, store := newTestStore(t)
	s := newSite(t, store, new(transcript))
	s.inst.settings.Bounds.Grace = 2
	started, release := make(chan struct{}), make(chan struct{})
	address := freeAddress(t)
	h := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	})
	s.inst.httpListeners = append(s.inst.httpListeners, newControlListener(budget.ClassLookups, address, h))
	ended := s.start()
	c := dialLater(t, address)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	s.stop()
	require.Eventually(t, func() bool {
		nc, err := net.Dial("tcp", address)
		if err == nil {
			_ = nc.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED) || len(ended) > 0
	}, patience, time.Millisecond)
	require.Empty(t, ended, "the process ended before the response")
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, <-ended)
}
