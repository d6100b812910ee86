package wire

import (
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/member"
)

// FromMember converts a full membership record to a message.
func FromMember(r member.Record) Member {
	return Member{
		ID: r.ID, Incarnation: r.Incarnation, State: r.State,
		Domain: r.Domain, Region: r.Region, Traffic: r.Traffic, Peer: r.Peer,
	}
}

// FromPing converts a ping to a message. It does not set Held and Digest.
func FromPing(p member.Ping) *Ping {
	out := &Ping{Sender: p.Sender, Incarnation: p.Incarnation}
	out.Members, out.Alive, out.Suspect, out.Dead, out.Left = fromRecords(p.Members)
	if p.Target != "" {
		out.Target = &p.Target
	}
	if p.Pull {
		after := string(p.After)
		out.After = &after
	}
	return out
}

// FromPong converts a pong to a message. It does not set Held and Digest.
func FromPong(p member.Pong) *Pong {
	out := &Pong{Sender: p.Sender, Incarnation: p.Incarnation}
	out.Members, out.Alive, out.Suspect, out.Dead, out.Left = fromRecords(p.Members)
	if p.TargetReached {
		out.Reached = &p.TargetReached
	}
	if p.More {
		out.More = &p.More
	}
	if p.LiveMembers > 0 {
		out.Count = &p.LiveMembers
	}
	return out
}

// fromRecords splits records into full records and, by state, short records without addresses.
func fromRecords(rs []member.Record) (full []Member, alive, suspect, dead, left []member.InstanceIncarnation) {
	short := make([][]member.InstanceIncarnation, len(member.StateValues()))
	for _, r := range rs {
		if r.Full() {
			full = append(full, FromMember(r))
			continue
		}
		short[r.State] = append(short[r.State], member.InstanceIncarnation{ID: r.ID, Incarnation: r.Incarnation})
	}
	return full, short[member.StateAlive], short[member.StateSuspect], short[member.StateDead], short[member.StateLeft]
}

// toRecords is the inverse of fromRecords.
func toRecords(full []Member, alive, suspect, dead, left []member.InstanceIncarnation) []member.Record {
	var out []member.Record
	for _, m := range full {
		out = append(out, member.Record{
			ID: m.ID, Incarnation: m.Incarnation, State: m.State,
			Domain: m.Domain, Region: m.Region, Traffic: m.Traffic, Peer: m.Peer,
		})
	}
	for s, incarnations := range [][]member.InstanceIncarnation{
		member.StateAlive: alive, member.StateSuspect: suspect, member.StateDead: dead, member.StateLeft: left,
	} {
		for _, inc := range incarnations {
			out = append(out, member.Record{ID: inc.ID, Incarnation: inc.Incarnation, State: member.State(s)})
		}
	}
	return out
}

// Core converts the message to a ping.
func (j *Ping) Core() member.Ping {
	out := member.Ping{Sender: j.Sender, Incarnation: j.Incarnation}
	out.Members = toRecords(j.Members, j.Alive, j.Suspect, j.Dead, j.Left)
	if j.Target != nil {
		out.Target = *j.Target
	}
	if j.After != nil {
		out.Pull, out.After = true, ident.InstanceID(*j.After)
	}
	return out
}

// Core converts the message to a pong.
func (j *Pong) Core() member.Pong {
	out := member.Pong{Sender: j.Sender, Incarnation: j.Incarnation}
	out.Members = toRecords(j.Members, j.Alive, j.Suspect, j.Dead, j.Left)
	out.TargetReached = j.Reached != nil && *j.Reached
	out.More = j.More != nil && *j.More
	if j.Count != nil {
		out.LiveMembers = *j.Count
	}
	return out
}
