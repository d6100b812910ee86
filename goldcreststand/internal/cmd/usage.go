package cmd

import (
	"context"
	"expvar"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/goldcreststand/internal/duty"
	"goldcreststand.example/goldcreststand/internal/edge"
	"goldcreststand.example/goldcreststand/internal/hub"
	"goldcreststand.example/lib/boot"
	site "goldcreststand.example/platform"
)

const (
	// flushTimeout limits the time for which a leaving instance waits until others have merged its last counts.
	flushTimeout = 300 * time.Millisecond
	// maxReceivers is at least the number of instances that receive counts.
	maxReceivers = 4
)

// startUsage creates the meter of the usage reports, if the settings ask for them, and returns the options with which control
// and request handling use it.
func (inst *instance) startUsage() ([]hub.Option, []edge.Option) {
	s := inst.settings
	if !s.ReportsUsage() {
		return nil, nil
	}
	times := s.Bounds.UsageTimes()
	inst.meter = duty.NewMeter(times, inst.clock, boot.Clock{})
	incarnation := ident.Incarnation(inst.clock.Now().UnixNano())
	return []hub.Option{hub.WithUsage(times, incarnation, inst.meter)}, []edge.Option{edge.WithUsage(inst.meter)}
}

// connectUsage creates the queue of the calls that the usage reports need, and publishes what is known of the duty.
func (inst *instance) connectUsage(c *site.Client) {
	if inst.meter == nil {
		return
	}
	inst.duty = duty.NewQueue(site.NewDuties(c), site.NewCloud(inst.settings.Cloud.Address, boot.Clock{}), inst.loop, inst.log)
	inst.followers = append(inst.followers, inst.meter, inst.duty)
	vars := new(expvar.Map).Init()
	inst.duty.Publish(vars)
	vars.Set("duty", expvar.Func(func() any {
		u := inst.loop.Usage()
		return map[string]any{"state": u.State.String(), "holder": u.Holder, "token": u.Token, "era": u.Position.Era, "revision": u.Position.Revision, "stored": u.Stored}
	}))
	inst.vars.Set("usage", vars)
}

// flushUsage sends this instance's last counts and waits for a moment until they are merged.
func (inst *instance) flushUsage() {
	if inst.meter == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	receivers, delivered := make(chan int, 1), make(chan struct{}, maxReceivers)
	if err := inst.loop.Post(ctx, hub.FlushCounts{Receivers: receivers, Delivered: delivered}); err != nil {
		return
	}
	left := 0
	select {
	case left = <-receivers:
	case <-ctx.Done():
	}
	for ; left > 0; left-- {
		select {
		case <-delivered:
		case <-ctx.Done():
			return
		}
	}
}
