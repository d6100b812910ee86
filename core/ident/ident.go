// Package ident defines the named types for identifiers and units that all modules share. Identifiers and
// durations are validated when they are decoded from text.
package ident

import (
	"github.com/zeebo/errs"
)

// MaxNameLength is the maximum length of a name in bytes.
const MaxNameLength = 64

// Identifiers. A name has 1 to MaxNameLength characters out of a-z, 0-9, '-', '_' and '.', and starts
// with a letter or digit.
type (
	// ServiceName names a service.
	ServiceName string
	// ServerID names one backend server of a service.
	ServerID string
	// InstanceID names one goldcreststand instance.
	InstanceID string
	// DomainName names a failure domain.
	DomainName string
	// RegionName names a region.
	RegionName string
	// VersionName names a version of a service.
	VersionName string
	// TenantName names a tenant.
	TenantName string
	// RouteName names a route of a service: the first segment of the request path.
	RouteName string
	// RequestID identifies one request of a caller. The caller sets it, and it is not validated.
	RequestID string
	// EditID identifies one edit of an object, by which its author recognises the edit when reading the object.
	EditID string
)

// Error is the class of the errors of this package.
var Error = errs.Class("ident")

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *ServiceName) UnmarshalText(b []byte) error { return unmarshalName(b, n) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *ServerID) UnmarshalText(b []byte) error { return unmarshalName(b, n) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *InstanceID) UnmarshalText(b []byte) error { return unmarshalName(b, n) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *DomainName) UnmarshalText(b []byte) error { return unmarshalName(b, n) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *RegionName) UnmarshalText(b []byte) error { return unmarshalName(b, n) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *VersionName) UnmarshalText(b []byte) error { return unmarshalName(b, n) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *TenantName) UnmarshalText(b []byte) error { return unmarshalName(b, n) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *RouteName) UnmarshalText(b []byte) error { return unmarshalName(b, n) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *EditID) UnmarshalText(b []byte) error { return unmarshalName(b, n) }

// CheckName returns an error for the first naming rule that the name breaks, or nil.
func CheckName(s string) error {
	if s == "" {
		return Error.New("name is empty")
	}
	if len(s) > MaxNameLength {
		return Error.New("name %q has %d bytes, at most %d are allowed", s, len(s), MaxNameLength)
	}
	for i := range len(s) {
		if !validNameByte(s[i], i == 0) {
			return Error.New("name %q has the invalid character %q at position %d", s, s[i], i+1)
		}
	}
	return nil
}

func validNameByte(c byte, first bool) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		return true
	case c == '-', c == '_', c == '.':
		return !first
	default:
		return false
	}
}

func unmarshalName[N ~string](b []byte, n *N) error {
	s := string(b)
	if err := CheckName(s); err != nil {
		return err
	}
	*n = N(s)
	return nil
}
