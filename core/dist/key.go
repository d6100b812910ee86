// Package dist distributes routing tables, server lists and rollout statuses to the instances that need them.
// It decides which platform objects this instance watches, what it sends to and requests from its peers, and
// which version of an object is in force. A version is replaced only by one with a higher revision.
package dist

import (
	"cmp"
	"strings"

	"github.com/zeebo/errs"

	"goldcreststand.example/core/ident"
)

// Error is the class of the errors of this package.
var Error = errs.Class("dist")

// Kind is the kind of an object.
type Kind int

// Kinds of objects.
const (
	// KindTable is the routing table of a service.
	KindTable Kind = iota
	// KindStatus is the rollout status of a service.
	KindStatus
	// KindServerList is the platform's list of the backend servers of a service.
	KindServerList
	// KindReachability is an instance's report on whether it reaches the platform. The platform does not store it.
	KindReachability
	// KindCatalog is the list of the services that have a routing table. Instances do not exchange it, because
	// the keys of the routing tables contain the same names.
	KindCatalog
)

// collection returns the first part of the text form of a key.
func (k Kind) collection() string {
	switch k {
	case KindTable:
		return "tables"
	case KindStatus:
		return "moves"
	case KindServerList:
		return "instances"
	case KindReachability:
		return "reach"
	case KindCatalog:
		return "catalog"
	}
	return ""
}

// Key identifies an object by its kind and the service or instance that it is about.
type Key struct {
	Kind Kind
	Name string
}

// TableKey returns the key of a service's routing table.
func TableKey(s ident.ServiceName) Key { return Key{Kind: KindTable, Name: string(s)} }

// StatusKey returns the key of a service's rollout status.
func StatusKey(s ident.ServiceName) Key { return Key{Kind: KindStatus, Name: string(s)} }

// ServerListKey returns the key of a service's server list.
func ServerListKey(s ident.ServiceName) Key { return Key{Kind: KindServerList, Name: string(s)} }

// ReachabilityKey returns the key of an instance's report on whether it reaches the platform.
func ReachabilityKey(id ident.InstanceID) Key { return Key{Kind: KindReachability, Name: string(id)} }

// CatalogKey returns the key of the list of services.
func CatalogKey() Key { return Key{Kind: KindCatalog, Name: "all"} }

// ParseKey parses the text form of a key.
func ParseKey(s string) (Key, error) {
	c, name, _ := strings.Cut(s, "/")
	if err := ident.CheckName(name); err != nil {
		return Key{}, Error.New("key %q: %w", s, err)
	}
	for _, k := range []Kind{KindTable, KindStatus, KindServerList, KindReachability} {
		if k.collection() == c {
			return Key{Kind: k, Name: name}, nil
		}
	}
	return Key{}, Error.New("key %q has an unknown collection", s)
}

// String returns the text form of the key, such as tables/inventory.
func (k Key) String() string { return k.Kind.collection() + "/" + k.Name }

// Service returns the service that the object is about.
func (k Key) Service() ident.ServiceName { return ident.ServiceName(k.Name) }

func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Name, o.Name))
}

// ObjectRevision identifies a revision of an object.
type ObjectRevision struct {
	Key      Key
	Revision ident.Revision
}
