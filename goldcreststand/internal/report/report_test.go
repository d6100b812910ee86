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
)

type quiet struct{}

func (quiet) Debugf(string, ...any) {}
func (quiet) Warnf(string, ...any)  {}

// control takes events and answers questions as the control goroutine does.
type control chan ctrl.Event

func (c control) Post(_ context.Context, ev ctrl.Event) error {
	if q, ok := ev.(ctrl.WarmQueryReceived); ok {
		q.Reply <- q.Servers[:1]
		return nil
	}
	c <- ev
	return nil
}

// Guards against reports and responses about warm servers that do not reach control unchanged.
func TestExchange(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	var xs []*report.Exchange
	var cs []control
	var at []netip.AddrPort
	for _, id := range []string{"i0", "i1"} {
		sock, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		at = append(at, netip.MustParseAddrPort(sock.Addr().String()))
		link := peer.New(clockwork.NewRealClock(), quiet{})
		x, c := report.New(ident.InstanceID(id), link, quiet{}), make(control, 4)
		link.ServeReport(x)
		xs, cs = append(xs, x), append(cs, c)
		go func() { _ = link.Run(ctx, sock) }()
		go x.Run(ctx, c)
	}
	want := ctrl.RolloutReport{Sender: "i0", Report: canary.Report{
		Status:   table.RolloutStatus{Service: "svc", Attempt: 2, Outcome: table.OutcomeReverted, Stage: 1, Reason: "failures"},
		Counts:   []canary.CallCounts{{Version: "v2", Route: "r", Calls: 5, Failures: 2, Slow: 1}},
		BadCalls: []canary.ServerBadCalls{{Server: "s1", Failures: 1.5}},
	}}
	xs[0].Send(ctrl.SendReport{To: at[1:], Report: want})
	require.Equal(t, ctrl.ReportReceived{Report: want}, next(t, cs[1]))
	xs[0].Ask(ctrl.SendWarmQuery{To: at[1], Service: "svc", Servers: []health.ServerIncarnation{{Server: "a", Incarnation: 3}, {Server: "b"}}})
	require.Equal(t, ctrl.WarmReplyReceived{Service: "svc", Servers: []health.ServerIncarnation{{Server: "a", Incarnation: 3}}}, next(t, cs[0]))
	stop()
	<-xs[0].Done()
	<-xs[1].Done()
}

func next(t *testing.T, c control) ctrl.Event {
	select {
	case ev := <-c:
		return ev
	case <-time.After(5 * time.Second):
		t.Fatal("no event")
		return nil
	}
}
