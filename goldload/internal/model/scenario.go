package model

import (
	"time"

	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/route"
)

// Times of the model.
const (
	// meanWork is the mean time that a server works on a call.
	meanWork = 5 * time.Millisecond
	// localTrip is the time for a request and its response inside a failure domain.
	localTrip = 200 * time.Microsecond
	// controlInterval is the time between two publications of a snapshot.
	controlInterval = 100 * time.Millisecond
	// lead is the time before the first call: shares come into force after limit.ShareIncreaseDelay.
	lead = limit.ShareIncreaseDelay + time.Second
)

// Policy is what is compared.
type Policy struct {
	Name string
	// Picker returns the policy's server selection, one for each instance.
	Picker func() route.Picker
	// Splitter divides the slots between instances.
	Splitter limit.Splitter
	Admit    Admission
}

// Scenario is one run.
type Scenario struct {
	Deployment Deployment
	// Load is the mean rate of calls relative to the rate that keeps all slots busy.
	Load float64
	// Waves lets most of the demand arrive in waves.
	Waves bool
	// Skew is the part of the calls that go to the first instance; 0 spreads them evenly.
	Skew     float64
	Faults   []Fault
	Deadline time.Duration
	Time     time.Duration
	Seed     uint64
}

// Admission says what happens to a call that finds no free slot.
type Admission int

// Kinds of admission.
const (
	// AdmitQueue uses limit.Queue.
	AdmitQueue Admission = iota
	// AdmitFIFO queues in order of arrival and rejects only when the deadline has passed.
	AdmitFIFO
	// AdmitNow rejects at once.
	AdmitNow
)
