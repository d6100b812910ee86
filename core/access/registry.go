// Package access decides which organisation sends a call and whether the call is admitted, by the key that the caller
// presents.
package access

import (
	"fmt"

	"goldcreststand.example/core/ident"
)

// Registry holds the organisations of a configuration. It is immutable. A nil registry is that of a configuration without
// organisations, in which calls need no key.
type Registry struct {
	secret  Secret
	members map[digest]member
	size    int
	lowest  Priority
}

// member is the organisation that a key belongs to.
type member struct {
	name     ident.TenantName
	priority Priority
}

// Caller is what is known of the sender of a call.
type Caller struct {
	// Examined reports that the configuration has organisations, so that the sender's key was looked up.
	Examined bool
	// Name is the name of the sender's organisation, or empty if it is unknown.
	Name ident.TenantName
	// Priority is the priority of the sender's organisation, and the lowest one for an unknown sender.
	Priority Priority
}

// New returns the registry of the organisations, or the findings if any of them is invalid. The secret must be random and
// be kept for the life of the process.
func New(secret Secret, organisations []Organisation) (*Registry, []Finding) {
	r := &Registry{secret: secret, members: make(map[digest]member), size: len(organisations)}
	for i := range organisations {
		if p := organisations[i].Priority; p != nil {
			r.lowest = max(r.lowest, *p)
		}
	}
	var findings []Finding
	names := make(map[ident.TenantName]bool, len(organisations))
	for i := range organisations {
		o := &organisations[i]
		for _, problem := range r.add(o, names) {
			findings = append(findings, Finding{Index: i + 1, Name: o.Name, Problem: problem})
		}
	}
	if len(findings) > 0 {
		return nil, findings
	}
	return r, nil
}

// add adds an organisation and returns its problems. names holds the names of the earlier ones.
func (r *Registry) add(o *Organisation, names map[ident.TenantName]bool) []string {
	var problems []string
	if p := o.nameProblem(); p != "" {
		problems = append(problems, p)
	} else if names[o.Name] {
		problems = append(problems, "name occurs twice")
	}
	names[o.Name] = true
	m := member{name: o.Name, priority: r.lowest}
	if o.Priority != nil {
		m.priority = *o.Priority
	}
	if m.priority < 0 {
		problems = append(problems, fmt.Sprintf("priority %d is negative", m.priority))
	}
	for i, k := range o.Keys {
		if p := k.problem(); p != "" {
			problems = append(problems, fmt.Sprintf("key %d %s", i+1, p))
			continue
		}
		d := r.secret.digest(k)
		if other, ok := r.members[d]; ok && other.name != o.Name {
			problems = append(problems, fmt.Sprintf("key %d is also a key of organisation %q", i+1, other.name))
		}
		r.members[d] = m
	}
	return problems
}

// Lookup returns the name and the priority of the organisation that the presented key belongs to, and whether there is
// one.
func (r *Registry) Lookup(presented Key) (ident.TenantName, Priority, bool) {
	if r == nil || presented == "" || len(presented) > maxKeyLength {
		return "", r.Lowest(), false
	}
	m, ok := r.members[r.secret.digest(presented)]
	if !ok {
		return "", r.lowest, false
	}
	return m.name, m.priority, true
}

// Admit returns the sender of a call, and whether the call is admitted: one on a route that is not public needs a key of
// an organisation. Without organisations every call is.
func (r *Registry) Admit(presented Key, public bool) (Caller, bool) {
	if r == nil {
		return Caller{}, true
	}
	name, priority, known := r.Lookup(presented)
	return Caller{Examined: true, Name: name, Priority: priority}, known || public
}

// Named returns the caller that has a key of the named organisation, and whether the registry has the organisation. An
// organisation without keys has no callers.
func (r *Registry) Named(n ident.TenantName) (Caller, bool) {
	if r == nil {
		return Caller{}, false
	}
	for _, m := range r.members {
		if m.name == n {
			return Caller{Examined: true, Name: n, Priority: m.priority}, true
		}
	}
	return Caller{Examined: true, Priority: r.lowest}, false
}

// Lowest returns the priority of the least urgent organisations.
func (r *Registry) Lowest() Priority {
	if r == nil {
		return 0
	}
	return r.lowest
}

// Size returns the number of organisations.
func (r *Registry) Size() int {
	if r == nil {
		return 0
	}
	return r.size
}
