package dist

import (
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/table"
)

// Object is one version of a routing table, a rollout status or a server list. The other two pointers are nil.
type Object struct {
	Key        Key
	Revision   ident.Revision
	Table      *table.Table
	Status     *table.RolloutStatus
	ServerList *roster.ServerList
}

// rowCount returns the number of rows or servers of the object.
func (o *Object) rowCount() int {
	switch {
	case o.Table != nil:
		return len(o.Table.Rows)
	case o.ServerList != nil:
		return len(o.ServerList.Servers)
	}
	return 1
}

// FromTable returns the object of a routing table.
func FromTable(t *table.Table) Object {
	return Object{Key: TableKey(t.Service), Revision: t.Revision, Table: t}
}

// FromStatus returns the object of a rollout status.
func FromStatus(s *table.RolloutStatus) Object {
	return Object{Key: StatusKey(s.Service), Revision: s.Revision(), Status: s}
}

// FromServerList returns the object of a server list.
func FromServerList(l *roster.ServerList) Object {
	return Object{Key: ServerListKey(l.Service), Revision: l.Revision, ServerList: l}
}
