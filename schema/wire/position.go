package wire

import (
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/store"
)

// WantFrom returns the request for the objects of a kind that changed after the position.
func WantFrom(kind string, known store.Position) Want {
	return Want{Kind: kind, Known: known.Revision, Era: &known.Era}
}

// Position returns the position that the sender has. A sender of a version that does not know eras gives none; its revision is taken for one of
// the given era, since it would get all objects with each poll otherwise.
func (j *Want) Position(era ident.Era) store.Position {
	if j.Era != nil {
		era = *j.Era
	}
	return store.Position{Era: era, Revision: j.Known}
}

// eraField returns the optional field of a message for an era.
func eraField(e ident.Era) *ident.Era {
	if e == 0 {
		return nil
	}
	return &e
}

// eraOf returns the era that the optional field of a message holds.
func eraOf(field *ident.Era) ident.Era {
	if field == nil {
		return 0
	}
	return *field
}
