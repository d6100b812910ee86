// Package wire defines the messages between processes. The message types are generated from the JSON
// Schema. The From functions and Core methods convert them from and to the types of the core packages.
package wire

import (
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/table"
)

// FromTable converts a routing table to a message.
func FromTable(t *table.Table) *Table {
	out := &Table{
		Service:  t.Service,
		Revision: t.Revision,
		Edit:     t.Edit,
		Author:   t.Author,
		Rows:     make([]Row, len(t.Rows)),
		Removed:  make([]Removal, len(t.Removed)),
		Recent:   t.RecentEdits,
	}
	for i, r := range t.Rows {
		out.Rows[i] = Row{Kind: r.Kind, Name: r.Name, Weight: r.Weight, Limit: r.Limit, State: r.State, Author: r.Author, Changed: r.Changed}
	}
	for i, r := range t.Removed {
		out.Removed[i] = Removal{Kind: r.Kind, Name: r.Name, Author: r.Author, Revision: r.Revision}
	}
	if t.Rollout != nil {
		out.Move = &Move{Attempt: t.Rollout.Attempt, From: t.Rollout.From, To: t.Rollout.To, Deadline: t.Rollout.Deadline}
	}
	return out
}

// FromServerList converts a list of backend servers to a message.
func FromServerList(l *roster.ServerList) *Listing {
	out := &Listing{Service: l.Service, Revision: l.Revision, Servers: make([]Server, len(l.Servers))}
	for i, s := range l.Servers {
		out.Servers[i] = Server{
			ID: s.ID, Address: s.Address, Domain: s.Domain, Version: s.Version, Slots: s.Slots,
			Connections: s.MaxConns, Incarnation: s.Incarnation, Leaving: s.Draining,
		}
	}
	return out
}

// Core converts the message to a routing table.
func (j *Table) Core() *table.Table {
	out := &table.Table{
		Service:     j.Service,
		Revision:    j.Revision,
		Edit:        j.Edit,
		Author:      j.Author,
		Rows:        make([]table.Row, len(j.Rows)),
		Removed:     make([]table.Removal, len(j.Removed)),
		RecentEdits: j.Recent,
	}
	for i, r := range j.Rows {
		out.Rows[i] = table.Row{Kind: r.Kind, Name: r.Name, Weight: r.Weight, Limit: r.Limit, State: r.State, Author: r.Author, Changed: r.Changed}
	}
	for i, r := range j.Removed {
		out.Removed[i] = table.Removal{Kind: r.Kind, Name: r.Name, Author: r.Author, Revision: r.Revision}
	}
	if j.Move != nil {
		out.Rollout = &table.RolloutSpec{Attempt: j.Move.Attempt, From: j.Move.From, To: j.Move.To, Deadline: j.Move.Deadline}
	}
	return out
}

// Core converts the message to a list of backend servers.
func (j *Listing) Core() *roster.ServerList {
	out := &roster.ServerList{Service: j.Service, Revision: j.Revision, Servers: make([]roster.Server, len(j.Servers))}
	for i, s := range j.Servers {
		out.Servers[i] = roster.Server{
			ID: s.ID, Address: s.Address, Domain: s.Domain, Version: s.Version, Slots: s.Slots,
			MaxConns: s.Connections, Incarnation: s.Incarnation, Draining: s.Leaving,
		}
	}
	return out
}

// FromStatus converts a rollout status to a message.
func FromStatus(s *table.RolloutStatus) *Status {
	return &Status{Attempt: s.Attempt, Outcome: StatusOutcome(s.Outcome.String()), Stage: s.Stage, Reason: s.Reason}
}

// Core converts the message to a rollout status of service n.
func (j *Status) Core(n ident.ServiceName) (*table.RolloutStatus, error) {
	o, err := table.OutcomeString(string(j.Outcome))
	if err != nil {
		return nil, err
	}
	return &table.RolloutStatus{Service: n, Attempt: j.Attempt, Outcome: o, Stage: j.Stage, Reason: j.Reason}, nil
}
