package wire

import (
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/member"
)

// FromMember returns the message for a record.
func FromMember(r member.Record) Member {
	out := Member{ID: r.ID, Incarnation: r.Incarnation, State: r.State}
	if r.Full() {
		out.Domain, out.Region, out.Traffic, out.Peer = &r.Domain, &r.Region, &r.Traffic, &r.Peer
	}
	return out
}

// FromPing returns the message for a ping. Held and Digest are left out.
func FromPing(p member.Ping) *Ping {
	out := &Ping{Sender: p.Sender, Incarnation: p.Incarnation, Members: fromMembers(p.Members)}
	if p.Target != "" {
		out.Target = &p.Target
	}
	if p.Pull {
		after := string(p.After)
		out.After = &after
	}
	return out
}

// FromPong returns the message for a pong. Held and Digest are left out.
func FromPong(p member.Pong) *Pong {
	out := &Pong{Sender: p.Sender, Incarnation: p.Incarnation, Members: fromMembers(p.Members)}
	if p.Reached {
		out.Reached = &p.Reached
	}
	if p.More {
		out.More = &p.More
	}
	return out
}

// Core returns the record that the message describes.
func (j *Member) Core() member.Record {
	out := member.Record{ID: j.ID, Incarnation: j.Incarnation, State: j.State}
	// A record with a part of the addresses is of no more use than a short one.
	if j.Domain != nil && j.Region != nil && j.Traffic != nil && j.Peer != nil {
		out.Domain, out.Region, out.Traffic, out.Peer = *j.Domain, *j.Region, *j.Traffic, *j.Peer
	}
	return out
}

// Core returns the ping that the message describes.
func (j *Ping) Core() member.Ping {
	out := member.Ping{Sender: j.Sender, Incarnation: j.Incarnation, Members: toMembers(j.Members)}
	if j.Target != nil {
		out.Target = *j.Target
	}
	if j.After != nil {
		out.Pull, out.After = true, ident.InstanceID(*j.After)
	}
	return out
}

// Core returns the pong that the message describes.
func (j *Pong) Core() member.Pong {
	out := member.Pong{Sender: j.Sender, Incarnation: j.Incarnation, Members: toMembers(j.Members)}
	out.Reached = j.Reached != nil && *j.Reached
	out.More = j.More != nil && *j.More
	return out
}

func fromMembers(rs []member.Record) []Member {
	var out []Member
	for _, r := range rs {
		out = append(out, FromMember(r))
	}
	return out
}

func toMembers(ms []Member) []member.Record {
	var out []member.Record
	for i := range ms {
		out = append(out, ms[i].Core())
	}
	return out
}
