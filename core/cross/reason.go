package cross

// Reason says why a call stays in its home domain or may leave it.
type Reason int

// Reasons. Those before ReasonNoHome keep a call at home.
const (
	// ReasonHomeRoom: a server at home has room and responds in time.
	ReasonHomeRoom Reason = iota
	// ReasonNoRemote: no other domain has servers.
	ReasonNoRemote
	// ReasonHomeFaster: the wait at home costs less than the way and the bytes.
	ReasonHomeFaster
	// ReasonNeighboursLoaded: the servers of the other domains report that they have no room.
	ReasonNeighboursLoaded
	// ReasonShareUsed: as many calls crossed as may.
	ReasonShareUsed
	// ReasonNoHome: the home domain has no servers, or is evacuated.
	ReasonNoHome
	// ReasonHomeSilent: no server of the home domain replies.
	ReasonHomeSilent
	// ReasonTarget: the call meets its target latency only elsewhere.
	ReasonTarget
	// ReasonDeadline: the call is served before its deadline only elsewhere.
	ReasonDeadline
	// ReasonFaster: the wait at home costs more than the way and the bytes.
	ReasonFaster
)

//go:generate ../../bin/enumer -type=Reason -trimprefix=Reason -transform=kebab -text -output=reason_enumer.go

func (r Reason) crosses() bool { return r >= ReasonNoHome }

// HomeOut reports whether the home domain has no server that takes calls. Such calls are not bounded by the share.
func (r Reason) HomeOut() bool { return r == ReasonNoHome || r == ReasonHomeSilent }
