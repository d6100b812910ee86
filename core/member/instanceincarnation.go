package member

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"goldcreststand.example/core/ident"
)

// Error is the class of the errors of this package.
var Error = errs.Class("member")

// InstanceIncarnation identifies an instance and its incarnation. Its text form is short because gossip about
// failures consists of it, and a quarter of the fleet may fail at once.
type InstanceIncarnation struct {
	ID          ident.InstanceID
	Incarnation ident.Incarnation
}

// MarshalText implements encoding.TextMarshaler.
func (i InstanceIncarnation) MarshalText() ([]byte, error) {
	return strconv.AppendUint([]byte(i.ID+"@"), uint64(i.Incarnation), 10), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *InstanceIncarnation) UnmarshalText(b []byte) error {
	id, number, ok := strings.Cut(string(b), "@")
	if !ok {
		return Error.New("%q has no incarnation", b)
	}
	if err := i.ID.UnmarshalText([]byte(id)); err != nil {
		return Error.Wrap(err)
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return Error.New("%q has an invalid incarnation", b)
	}
	i.Incarnation = ident.Incarnation(n)
	return nil
}
