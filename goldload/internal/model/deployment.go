// Package model simulates one service in virtual time: its backend servers, the instances that serve
// it and the callers. The simulated instances run the same decision code as goldcreststand.
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

// Deployment describes the servers and instances of a service.
type Deployment struct {
	Name    string
	Servers int
	Slots   ident.Slots
	// OneWayDelay is the one-way network delay between two failure domains.
	OneWayDelay time.Duration
	// Instances is the number of instances, of which ServingInstances serve the service.
	Instances        int
	ServingInstances int
}

// Deployments returns the deployments of the four services that the design is based on.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "inventory", Servers: 18, Slots: 4, OneWayDelay: time.Millisecond, Instances: 16, ServingInstances: 4},
		{Name: "dispatch", Servers: 12, Slots: 4, OneWayDelay: time.Millisecond, Instances: 16, ServingInstances: 4},
		{Name: "checkin", Servers: 18, Slots: 3, OneWayDelay: 1500 * time.Microsecond, Instances: 16, ServingInstances: 4},
		{Name: "badging", Servers: 12, Slots: 3, OneWayDelay: 1500 * time.Microsecond, Instances: 16, ServingInstances: 4},
	}
}

func (d Deployment) placeInstances() []place.Instance {
	out := make([]place.Instance, d.Instances)
	for i := range out {
		out[i] = place.Instance{ID: ident.InstanceID(fmt.Sprintf("i%02d", i)), Domain: domainName(i)}
	}
	return out
}

func (d Deployment) serverList() []roster.Server {
	out := make([]roster.Server, d.Servers)
	for i := range out {
		out[i] = roster.Server{
			ID: ident.ServerID(fmt.Sprintf("%s-%02d", d.Name, i)), Domain: domainName(i), Version: "v1", Slots: d.Slots,
		}
	}
	return out
}

// saturationRate returns the rate, in calls per second, that keeps all slots busy.
func (d Deployment) saturationRate() float64 {
	remote := float64(domainCount-1) / domainCount
	slotTime := meanWorkTime.Seconds() + localRoundTrip.Seconds() + remote*2*d.OneWayDelay.Seconds()
	return float64(d.Servers) * float64(d.Slots) / slotTime
}

// roundTrip returns the network time of a request and its response between two failure domains.
func (d Deployment) roundTrip(a, b ident.DomainName) time.Duration {
	if a == b {
		return localRoundTrip
	}
	return localRoundTrip + 2*d.OneWayDelay
}

func domainName(i int) ident.DomainName { return ident.DomainName(fmt.Sprintf("d%d", i%domainCount)) }
