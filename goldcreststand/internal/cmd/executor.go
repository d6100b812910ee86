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

// executor passes control's actions to the adapters.
type executor struct {
	watcher    *watch.Watcher
	fetches    *fetch.Exchange
	reports    *report.Exchange
	prober     *prober.Prober
	heartbeats *beat.Exchange
}

var _ ctrl.Executor = (*executor)(nil)

// Do queues the action at the adapter that carries it out.
func (x *executor) Do(a ctrl.Action) {
	switch a := a.(type) {
	case dist.StartWatch, dist.StopWatch, dist.StoreStatus:
		x.watcher.Do(a)
	case ctrl.SendFetch:
		x.fetches.Do(a)
	case ctrl.SendReport:
		x.reports.SendReport(a)
	case ctrl.SendWarmQuery:
		x.reports.SendWarmQuery(a)
	case ctrl.SendPing:
		x.heartbeats.SendPing(a)
	case member.Action:
		x.heartbeats.HandleMemberAction(a)
	case ctrl.SendProbe:
		x.prober.Enqueue(a)
	}
}
