package wire

import (
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/store"
)

// WantFrom returns the request for the objects of a kind that changed after the position.
func WantFrom(kind string, known store.Position) Want {
	return Want{Kind: kind, Known: known.Revision, Era: eraField(known.Era)}
}

// Position returns the position that the sender has.
func (j *Want) Position() store.Position {
	return store.Position{Era: eraOf(j.Era), Revision: j.Known}
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
