package report_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/health"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
	"goldcreststand.example/goldcreststand/internal/ctrl"
	"goldcreststand.example/goldcreststand/internal/peer"
	"goldcreststand.example/goldcreststand/internal/report"
	"goldcreststand.example/schema/wire"
)

type discardLog struct{}

func (discardLog) Debugf(string, ...any) {}
func (discardLog) Warnf(string, ...any)  {}

// control receives events and responds to warm queries like the control goroutine.
type control chan ctrl.Event

func (c control) Post(_ context.Context, ev ctrl.Event) error {
	if q, ok := ev.(ctrl.WarmQueryReceived); ok {
		q.Reply <- q.Servers[:1]
		return nil
	}
	c <- ev
	return nil
}

// Guards against reports and warm replies that are lost or changed on the way to control.
func TestExchange(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	var exchanges []*report.Exchange
	var controls []control
	var addresses []netip.AddrPort
	for _, id := range []string{"i0", "i1"} {
		sock, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		addresses = append(addresses, netip.MustParseAddrPort(sock.Addr().String()))
		link := peer.New(clockwork.NewRealClock(), discardLog{})
		x, c := report.New(ident.InstanceID(id), link, discardLog{}), make(control, 4)
		link.ServeReport(x)
		exchanges, controls = append(exchanges, x), append(controls, c)
		go func() { _ = link.Run(ctx, sock) }()
		go x.Run(ctx, c)
	}
	for _, x := range exchanges {
		awaitRun(t, x)
	}
	want := ctrl.RolloutReport{Sender: "i0", Report: canary.Report{
		Status:   table.RolloutStatus{Service: "svc", Attempt: 2, Outcome: table.OutcomeReverted, Stage: 1, Reason: "failures"},
		Counts:   []canary.CallCounts{{Version: "v2", Route: "r", Calls: 5, Failures: 2, Slow: 1}},
		BadCalls: []canary.ServerBadCalls{{Server: "s1", Failures: 1.5}},
	}}
	exchanges[0].SendReport(ctrl.SendReport{To: addresses[1:], Report: want})
	require.Equal(t, ctrl.ReportReceived{Report: want}, nextEvent(t, controls[1]))
	exchanges[0].SendWarmQuery(ctrl.SendWarmQuery{To: addresses[1], Service: "svc", Servers: []health.ServerIncarnation{{Server: "a", Incarnation: 3}, {Server: "b"}}})
	require.Equal(t, ctrl.WarmReplyReceived{Service: "svc", Servers: []health.ServerIncarnation{{Server: "a", Incarnation: 3}}}, nextEvent(t, controls[0]))
	stop()
	<-exchanges[0].Done()
	<-exchanges[1].Done()
}

// awaitRun waits until Run has started. An exchange refuses reports before it, and their sender drops them.
func awaitRun(t *testing.T, x *report.Exchange) {
	query := wire.FromIncarnations("svc", []health.ServerIncarnation{{Server: "a", Incarnation: 3}})
	require.Eventually(t, func() bool {
		_, err := x.Warm(t.Context(), query)
		return err == nil
	}, 5*time.Second, time.Millisecond)
}

func nextEvent(t *testing.T, c control) ctrl.Event {
	select {
	case ev := <-c:
		return ev
	case <-time.After(5 * time.Second):
		t.Fatal("no event")
		return nil
	}
}
