// Package model simulates one service in virtual time: its backend servers, the instances that serve
// it and the callers. Instances use the decision code of goldcreststand unchanged.
package model

import (
	"fmt"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/roster"
)

// domainCount is the number of failure domains of a deployment.
const domainCount = 4

// Deployment is the size of a service.
type Deployment struct {
	Name    string
	Servers int
	Slots   ident.Slots
	// Hop is the one-way time between two failure domains.
	Hop time.Duration
	// Fleet is the number of instances, of which Count serve the service.
	Fleet int
	Count int
}

// Deployments returns the four services of the design page.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "inventory", Servers: 18, Slots: 4, Hop: time.Millisecond, Fleet: 16, Count: 4},
		{Name: "dispatch", Servers: 12, Slots: 4, Hop: time.Millisecond, Fleet: 16, Count: 4},
		{Name: "checkin", Servers: 18, Slots: 3, Hop: 1500 * time.Microsecond, Fleet: 16, Count: 4},
		{Name: "badging", Servers: 12, Slots: 3, Hop: 1500 * time.Microsecond, Fleet: 16, Count: 4},
	}
}

func (d Deployment) nodes() []place.Instance {
	out := make([]place.Instance, d.Fleet)
	for i := range out {
		out[i] = place.Instance{ID: ident.InstanceID(fmt.Sprintf("i%02d", i)), Domain: domain(i)}
	}
	return out
}

func (d Deployment) listing() []roster.Server {
	out := make([]roster.Server, d.Servers)
	for i := range out {
		out[i] = roster.Server{
			ID: ident.ServerID(fmt.Sprintf("%s-%02d", d.Name, i)), Domain: domain(i), Version: "v1", Slots: d.Slots,
		}
	}
	return out
}

// rate returns the calls per second that keep all slots busy.
func (d Deployment) rate() float64 {
	remote := float64(domainCount-1) / domainCount
	hold := meanWork.Seconds() + localTrip.Seconds() + remote*2*d.Hop.Seconds()
	return float64(d.Servers) * float64(d.Slots) / hold
}

// trip is the time for a request and its response between two failure domains.
func (d Deployment) trip(a, b ident.DomainName) time.Duration {
	if a == b {
		return localTrip
	}
	return localTrip + 2*d.Hop
}

func domain(i int) ident.DomainName { return ident.DomainName(fmt.Sprintf("d%d", i%domainCount)) }
