// Package wire holds the messages between processes. The types are generated from the schema; this
// file converts them from and to the types that decisions are made on.
package wire

import (
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/table"
)

// FromTable returns the message for a routing table.
func FromTable(t *table.Table) *Table {
	out := &Table{
		Service:  t.Service,
		Revision: t.Revision,
		Edit:     t.Edit,
		Author:   t.Author,
		Rows:     make([]Row, len(t.Rows)),
		Removed:  make([]Removal, len(t.Removed)),
		Recent:   t.Recent,
	}
	for i, r := range t.Rows {
		out.Rows[i] = Row{Kind: r.Kind, Name: r.Name, Weight: r.Weight, Limit: r.Limit, State: r.State, Author: r.Author, Changed: r.Changed}
	}
	for i, r := range t.Removed {
		out.Removed[i] = Removal{Kind: r.Kind, Name: r.Name, Author: r.Author, Revision: r.Revision}
	}
	if t.Move != nil {
		out.Move = &Move{Attempt: t.Move.Attempt, From: t.Move.From, To: t.Move.To, Deadline: t.Move.Deadline}
	}
	return out
}

// FromListing returns the message for a list of backend servers.
func FromListing(l *roster.ServerList) *Listing {
	out := &Listing{Service: l.Service, Revision: l.Revision, Servers: make([]Server, len(l.Servers))}
	for i, s := range l.Servers {
		out.Servers[i] = Server{
			ID: s.ID, Address: s.Address, Domain: s.Domain, Version: s.Version, Slots: s.Slots,
			Connections: s.MaxConnections, Incarnation: s.Incarnation, Leaving: s.Draining,
		}
	}
	return out
}

// Core returns the routing table that the message describes.
func (j *Table) Core() *table.Table {
	out := &table.Table{
		Service:  j.Service,
		Revision: j.Revision,
		Edit:     j.Edit,
		Author:   j.Author,
		Rows:     make([]table.Row, len(j.Rows)),
		Removed:  make([]table.Removal, len(j.Removed)),
		Recent:   j.Recent,
	}
	for i, r := range j.Rows {
		out.Rows[i] = table.Row{Kind: r.Kind, Name: r.Name, Weight: r.Weight, Limit: r.Limit, State: r.State, Author: r.Author, Changed: r.Changed}
	}
	for i, r := range j.Removed {
		out.Removed[i] = table.Removal{Kind: r.Kind, Name: r.Name, Author: r.Author, Revision: r.Revision}
	}
	if j.Move != nil {
		out.Move = &table.Move{Attempt: j.Move.Attempt, From: j.Move.From, To: j.Move.To, Deadline: j.Move.Deadline}
	}
	return out
}

// Core returns the list of backend servers that the message describes.
func (j *Listing) Core() *roster.ServerList {
	out := &roster.ServerList{Service: j.Service, Revision: j.Revision, Servers: make([]roster.Server, len(j.Servers))}
	for i, s := range j.Servers {
		out.Servers[i] = roster.Server{
			ID: s.ID, Address: s.Address, Domain: s.Domain, Version: s.Version, Slots: s.Slots,
			MaxConnections: s.Connections, Incarnation: s.Incarnation, Draining: s.Leaving,
		}
	}
	return out
}

// FromStatus returns the message for a rollout status.
func FromStatus(s *table.Status) *Status {
	return &Status{Attempt: s.Attempt, Outcome: StatusOutcome(s.Outcome.String()), Stage: s.Stage, Reason: s.Reason}
}

// Core returns the status that the message describes, of the service that its key names.
func (j *Status) Core(n ident.ServiceName) (*table.Status, error) {
	o, err := table.OutcomeString(string(j.Outcome))
	if err != nil {
		return nil, err
	}
	return &table.Status{Service: n, Attempt: j.Attempt, Outcome: o, Stage: j.Stage, Reason: j.Reason}, nil
}
