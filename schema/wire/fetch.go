package wire

import (
	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
)

// FromHeld returns the messages for revisions.
func FromHeld(hs []dist.ObjectRevision) []Held {
	out := make([]Held, len(hs))
	for i, h := range hs {
		out[i] = Held{Key: h.Key.String(), Revision: h.Revision}
	}
	return out
}

// CoreHeld returns the revisions that the messages describe. Keys of unknown collections are left out,
// so that a later version can add collections.
func CoreHeld(hs []Held) []dist.ObjectRevision {
	var out []dist.ObjectRevision
	for _, h := range hs {
		if k, err := dist.ParseKey(h.Key); err == nil {
			out = append(out, dist.ObjectRevision{Key: k, Revision: h.Revision})
		}
	}
	return out
}

// FromRequest returns the message for a request of the sender.
func FromRequest(sender ident.InstanceID, r dist.Request) *Fetch {
	out := &Fetch{Sender: sender, Held: FromHeld(r.Wanted), News: FromHeld(r.Announced)}
	for _, b := range r.Buckets {
		out.Buckets = append(out.Buckets, b.String())
	}
	return out
}

// Core returns the request that the message describes.
func (j *Fetch) Core() (dist.Request, error) {
	out := dist.Request{Wanted: CoreHeld(j.Held), Announced: CoreHeld(j.News)}
	for _, b := range j.Buckets {
		d, err := dist.ParseDigest(b)
		if err != nil {
			return dist.Request{}, err
		}
		out.Buckets = append(out.Buckets, d)
	}
	return out, nil
}

// FromReply returns the message for a response.
func FromReply(r dist.Reply) *Fetched {
	out := &Fetched{Tables: []Table{}, Statuses: []Progress{}, Listings: []Listing{}, Held: FromHeld(r.Revisions)}
	for _, o := range r.Objects {
		switch {
		case o.Table != nil:
			out.Tables = append(out.Tables, *FromTable(o.Table))
		case o.Status != nil:
			out.Statuses = append(out.Statuses, Progress{Service: o.Status.Service, Status: *FromStatus(o.Status)})
		case o.Listing != nil:
			out.Listings = append(out.Listings, *FromListing(o.Listing))
		}
	}
	return out
}

// Core returns the response that the message describes.
func (j *Fetched) Core() (dist.Reply, error) {
	out := dist.Reply{Revisions: CoreHeld(j.Held)}
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
		out.Objects = append(out.Objects, dist.FromListing(j.Listings[i].Core()))
	}
	return out, nil
}
