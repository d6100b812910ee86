package cmd

import (
	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/member"
	"goldcreststand.example/goldcreststand/internal/beat"
	"goldcreststand.example/goldcreststand/internal/ctrl"
	"goldcreststand.example/goldcreststand/internal/fetch"
	"goldcreststand.example/goldcreststand/internal/prober"
	"goldcreststand.example/goldcreststand/internal/report"
	"goldcreststand.example/goldcreststand/internal/watch"
)

// executor hands control's actions to the adapters.
type executor struct {
	watcher  *watch.Watcher
	exchange *fetch.Exchange
	reports  *report.Exchange
	prober   *prober.Prober
	beats    *beat.Exchange
}

var _ ctrl.Executor = (*executor)(nil)

// Do queues the action with the adapter that carries it out.
func (x *executor) Do(a ctrl.Action) {
	switch a := a.(type) {
	case dist.StartWatch, dist.StopWatch, dist.StoreStatus:
		x.watcher.Do(a)
	case ctrl.FetchPeer:
		x.exchange.Do(a)
	case ctrl.SendReport:
		x.reports.Send(a)
	case ctrl.AskWarm:
		x.reports.Ask(a)
	case ctrl.SendPing:
		x.beats.Do(a)
	case member.Action:
		x.beats.Note(a)
	case ctrl.Probe:
		x.prober.Enqueue(a)
	}
}
