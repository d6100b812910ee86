package intake

import (
	"cmp"
	"encoding/json"
	"expvar"
	"net"
	"slices"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/budget"
	"goldcreststand.example/core/ident"
)

// action is a measure against callers.
type action int

// Actions.
const (
	// actionWait means that a listener waited before it accepted.
	actionWait action = iota
	// actionRefuse means that a request found no room.
	actionRefuse
	// actionClose means that a connection without progress was closed.
	actionClose
)

//go:generate ../../../bin/enumer -type=action -trimprefix=action -transform=lower -output=action_enumer.go

// measure identifies a kind of measure. The cause is that of the budget, or the item that found no room.
type measure struct {
	action action
	class  budget.Class
	cause  string
}

// tally counts the measures of a kind since the last report, with the connection that held most.
type tally struct {
	count   int
	remote  string
	held    ident.Bytes
	stalled int64
	phase   budget.Phase
}

// maxPressing is the number of addresses in the usage.
const maxPressing = 8

// Metrics holds the counters of measures and shows who holds how much.
type Metrics struct {
	measures *expvar.Map
	read     func() usage
}

// NewMetrics returns metrics that are not published yet.
func NewMetrics() *Metrics { return &Metrics{measures: new(expvar.Map).Init()} }

// Publish adds the metrics to a map.
func (m *Metrics) Publish(to *expvar.Map) {
	to.Set("intakemeasures", m.measures)
	to.Set("intake", usageVar{m})
}

// usageVar shows the usage at the time it is read.
type usageVar struct{ m *Metrics }

// String returns the usage in JSON.
func (v usageVar) String() string {
	b, err := json.Marshal(v.m.read())
	if err != nil {
		return "{}"
	}
	return string(b)
}

// usage is what callers and other instances hold.
type usage struct {
	Level       string         `json:"level"`
	Callers     ident.Bytes    `json:"callers"`
	Peers       ident.Bytes    `json:"peers"`
	Garbage     ident.Bytes    `json:"garbage"`
	Connections map[string]int `json:"connections"`
	// Pressing are the addresses with the most memory, the largest first.
	Pressing []pressing `json:"pressing"`
}

// pressing is an address with its connections.
type pressing struct {
	Address     string      `json:"address"`
	Connections int         `json:"connections"`
	Held        ident.Bytes `json:"held"`
}

// usage returns what is held now.
func (g *Gate) usage() usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := usage{Level: g.budget.Level().String(), Garbage: g.budget.Garbage(), Connections: make(map[string]int)}
	out.Callers, out.Peers = g.budget.Held()
	for _, class := range budget.ClassValues() {
		out.Connections[class.String()] = g.budget.Conns(class)
	}
	byAddress := make(map[string]pressing)
	for id, c := range g.conns {
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		p := byAddress[host]
		byAddress[host] = pressing{Address: host, Connections: p.Connections + 1, Held: p.Held + g.budget.HeldBy(id)}
	}
	for _, p := range byAddress {
		out.Pressing = append(out.Pressing, p)
	}
	slices.SortFunc(out.Pressing, func(x, y pressing) int { return cmp.Or(cmp.Compare(y.Held, x.Held), cmp.Compare(x.Address, y.Address)) })
	out.Pressing = out.Pressing[:min(len(out.Pressing), maxPressing)]
	return out
}

// note counts a measure against a connection, which is nil when a listener waits. The caller holds the lock.
func (g *Gate) note(m measure, c *Conn, v budget.Victim) {
	g.metrics.measures.Add(m.action.String()+"."+m.class.String()+"."+m.cause, 1)
	t := g.measures[m]
	if t == nil {
		t = new(tally)
		g.measures[m] = t
	}
	t.count++
	if c == nil {
		return
	}
	if held := max(v.Held, g.budget.HeldBy(c.id)); held > t.held {
		t.remote, t.held, t.stalled, t.phase = c.RemoteAddr().String(), held, v.Stalled.Milliseconds(), v.Phase
	}
}

// report logs the measures since the last report, a line for each kind.
func (g *Gate) report() {
	g.mu.Lock()
	measures := g.measures
	g.measures = make(map[measure]*tally)
	callers, peers := g.budget.Held()
	g.mu.Unlock()
	for m, t := range measures {
		fields := logrus.Fields{"class": m.class.String(), "cause": m.cause, "count": t.count, "callers": callers, "peers": peers}
		if t.remote != "" {
			fields["remote"], fields["held"] = t.remote, t.held
		}
		if m.action == actionClose {
			fields["stalled"], fields["phase"] = t.stalled, t.phase.String()
		}
		g.log.StateChange("intake: "+m.action.text(), fields)
	}
}

// text returns what the action is called in the log.
func (a action) text() string {
	switch a {
	case actionWait:
		return "accepting waited"
	case actionRefuse:
		return "requests refused"
	default:
		return "connections closed"
	}
}
