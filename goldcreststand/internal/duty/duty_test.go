package duty_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/store"
	"goldcreststand.example/core/usage"
	"goldcreststand.example/goldcreststand/internal/duty"
	"goldcreststand.example/goldcreststand/internal/hub"
)

// fake is a store, an API and a log.
type fake struct {
	err    error
	events chan hub.Event
}

func (f *fake) ReadDuty(context.Context) (usage.Entry, store.Position, error) {
	return usage.Entry{Token: 3}, store.Position{Era: 2, Revision: 8}, f.err
}

func (f *fake) WriteDuty(_ context.Context, _ usage.Entry, condition ident.Revision) (store.Position, error) {
	return store.Position{Era: 2, Revision: condition + 1}, f.err
}

func (f *fake) SendReport(context.Context, usage.SendReport) (usage.Outcome, error) {
	if f.err != nil {
		panic("fault")
	}
	return usage.OutcomeAccepted, nil
}

func (f *fake) Post(_ context.Context, ev hub.Event) error {
	f.events <- ev
	return nil
}

func (*fake) StateChange(string, logrus.Fields) {}

// Guards against a call without a result, after which control would wait for ever.
func TestEachCallHasAResult(t *testing.T) {
	for name, err := range map[string]error{"good": nil, "failed": store.ErrUnknown.New("lost")} {
		t.Run(name, func(t *testing.T) {
			f := &fake{err: err, events: make(chan hub.Event, 8)}
			q := duty.NewQueue(f, f, f, f)
			ctx, cancel := context.WithCancel(t.Context())
			go q.Run(ctx)
			q.ReadDuty()
			require.Equal(t, hub.DutyRead{Entry: usage.Entry{Token: 3}, Position: store.Position{Era: 2, Revision: 8}, Err: err}, <-f.events)
			q.WriteDuty(hub.WriteDuty{WriteEntry: usage.WriteEntry{Condition: 8}})
			require.Equal(t, hub.DutyWritten{Position: store.Position{Era: 2, Revision: 9}, Err: err}, <-f.events)
			outcome := usage.OutcomeAccepted
			if err != nil {
				outcome = usage.OutcomeFailed
			}
			q.SendUsage(hub.SendUsage{SendReport: usage.SendReport{Report: usage.Report{Window: 5}}})
			require.Equal(t, hub.UsageSent{Window: 5, Outcome: outcome}, <-f.events)
			cancel()
			<-q.Done()
		})
	}
}

// Guards against a full queue that drops a call.
func TestFullQueueReportsFailure(t *testing.T) {
	f := &fake{events: make(chan hub.Event, 8)}
	q := duty.NewQueue(f, f, f, f)
	for range 3 {
		q.ReadDuty()
	}
	require.Error(t, (<-f.events).(hub.DutyRead).Err)
}

// bootTime is a boot-time clock that runs with the fake wall clock, apart from the jumps of that.
type bootTime struct {
	clock *clockwork.FakeClock
	jump  time.Duration
}

func (b *bootTime) Elapsed() time.Duration { return time.Duration(b.clock.Now().UnixNano()) - b.jump }

// Guards against calls that are counted in another window after a jump of the wall clock.
func TestMeterCountsByBootTime(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0))
	b := &bootTime{clock: clock}
	m := duty.NewMeter(usage.Settings{Window: 5 * time.Second}, clock, b)
	require.Equal(t, usage.Window(340_000_000), m.Begin("t"))
	b.jump = 20 * time.Second
	clock.Advance(20 * time.Second)
	require.Equal(t, usage.Window(340_000_000), m.Begin("t"))
	m.Revoke("t", 340_000_000)
	require.Equal(t, usage.Counts{"t": 1}, m.After(0)[340_000_000].Counts)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	m.Run(ctx)
	<-m.Done()
}
