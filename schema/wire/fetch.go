package wire

import (
	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
)

// FromRevisions converts object revisions to messages.
func FromRevisions(rs []dist.ObjectRevision) []Held {
	out := make([]Held, len(rs))
	for i, r := range rs {
		out[i] = Held{Key: r.Key.String(), Revision: r.Revision}
	}
	return out
}

// CoreRevisions converts messages to object revisions. It skips keys of unknown collections, because a later
// version may add collections.
func CoreRevisions(hs []Held) []dist.ObjectRevision {
	var out []dist.ObjectRevision
	for _, h := range hs {
		if k, err := dist.ParseKey(h.Key); err == nil {
			out = append(out, dist.ObjectRevision{Key: k, Revision: h.Revision})
		}
	}
	return out
}

// FromRequest converts a fetch request of the sender to a message.
func FromRequest(sender ident.InstanceID, r dist.Request) *Fetch {
	out := &Fetch{Sender: sender, Held: FromRevisions(r.Wanted), News: FromRevisions(r.Announced)}
	for _, b := range r.Buckets {
		out.Buckets = append(out.Buckets, b.String())
	}
	return out
}

// Core converts the message to a fetch request.
func (j *Fetch) Core() (dist.Request, error) {
	out := dist.Request{Wanted: CoreRevisions(j.Held), Announced: CoreRevisions(j.News)}
	for _, b := range j.Buckets {
		d, err := dist.ParseDigest(b)
		if err != nil {
			return dist.Request{}, err
		}
		out.Buckets = append(out.Buckets, d)
	}
	return out, nil
}

// FromReply converts the response to a fetch request to a message.
func FromReply(r dist.Reply) *Fetched {
	out := &Fetched{Tables: []Table{}, Statuses: []Progress{}, Listings: []Listing{}, Held: FromRevisions(r.Revisions)}
	for _, o := range r.Objects {
		switch {
		case o.Table != nil:
			out.Tables = append(out.Tables, *FromTable(o.Table))
		case o.Status != nil:
			out.Statuses = append(out.Statuses, Progress{Service: o.Status.Service, Status: *FromStatus(o.Status)})
		case o.ServerList != nil:
			out.Listings = append(out.Listings, *FromServerList(o.ServerList))
		}
	}
	return out
}

// Core converts the message to the response to a fetch request.
func (j *Fetched) Core() (dist.Reply, error) {
	out := dist.Reply{Revisions: CoreRevisions(j.Held)}
	for i := range j.Tables {
		out.Objects = append(out.Objects, dist.FromTable(j.Tables[i].Core()))
	}
	for i := range j.Statuses {
		s, err := j.Statuses[i].Status.Core(j.Statuses[i].Service)
		if err != nil {
			return dist.Reply{}, err
		}
		out.Objects = append(out.Objects, dist.FromStatus(s))
	}
	for i := range j.Listings {
		out.Objects = append(out.Objects, dist.FromServerList(j.Listings[i].Core()))
	}
	return out, nil
}
