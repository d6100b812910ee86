package member

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"goldcreststand.example/core/ident"
)

// Error is the class of the errors of this package.
var Error = errs.Class("member")

// InstanceIncarnation names an instance in one incarnation. Its text form is short, because gossip about failures is
// made of it: a quarter of the fleet may fail at once.
type InstanceIncarnation struct {
	ID          ident.InstanceID
	Incarnation ident.Incarnation
}

// MarshalText implements encoding.TextMarshaler.
func (l InstanceIncarnation) MarshalText() ([]byte, error) {
	return strconv.AppendUint([]byte(l.ID+"@"), uint64(l.Incarnation), 10), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (l *InstanceIncarnation) UnmarshalText(b []byte) error {
	id, number, ok := strings.Cut(string(b), "@")
	if !ok {
		return Error.New("%q has no incarnation", b)
	}
	if err := l.ID.UnmarshalText([]byte(id)); err != nil {
		return Error.Wrap(err)
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return Error.New("%q has an invalid incarnation", b)
	}
	l.Incarnation = ident.Incarnation(n)
	return nil
}
