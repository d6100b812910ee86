package model

import (
	"time"

	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/route"
)

// Times of the model.
const (
	// meanWorkTime is the mean time that a server takes for a call.
	meanWorkTime = 5 * time.Millisecond
	// localRoundTrip is the network time of a request and its response inside a failure domain.
	localRoundTrip = 200 * time.Microsecond
	// controlInterval is the time between two publications of a snapshot.
	controlInterval = 100 * time.Millisecond
	// trafficStart is the time of the first call. It leaves time for the shares to take effect, which they do
	// after limit.ShareIncreaseDelay.
	trafficStart = limit.ShareIncreaseDelay + time.Second
)

// Policy is a combination of server selection, division of slots and admission.
type Policy struct {
	Name string
	// Picker returns a new picker that selects servers; each instance has its own.
	Picker func() route.Picker
	// Splitter divides the slots between instances.
	Splitter  limit.Splitter
	Admission Admission
}

// Scenario describes one run.
type Scenario struct {
	Deployment Deployment
	// Load is the mean rate of calls relative to the rate that keeps all slots busy.
	Load float64
	// Bursts makes more than half of the calls arrive in bursts.
	Bursts bool
	// Skew is the fraction of calls that go to the first serving instance; 0 distributes calls evenly.
	Skew     float64
	Faults   []Fault
	Deadline time.Duration
	Duration time.Duration
	Seed     uint64
}

// Admission determines what happens to a call when no slot is free.
type Admission int

// Kinds of admission.
const (
	// AdmissionQueue queues calls in a limit.Queue.
	AdmissionQueue Admission = iota
	// AdmissionFIFO queues calls in order of arrival, regardless of tenant and class. It rejects a call only
	// when its deadline has passed or the queue is full.
	AdmissionFIFO
	// AdmissionNoQueue rejects calls immediately.
	AdmissionNoQueue
)
