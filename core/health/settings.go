package health

import "time"

// DefaultTakeDelay is the time that an instance waits after it became the first of the instances
// with slots at a server before it sends to the server in warm-up. It exceeds the 3 s of failure detection plus
// the 2 s for which the former first instance may act on its last snapshot.
const DefaultTakeDelay = 6 * time.Second

// Limits of the state machine.
const (
	// stepCalls is the number of good calls for each slot of the limit before the limit doubles.
	stepCalls = 5
	// failLimit is the number of consecutive failures that eject an active server.
	failLimit = 5
	// warmFailLimit is the number of consecutive failures that eject a server in warm-up.
	warmFailLimit = 3
	// probeFailLimit is the number of failed probes without a good call between them that eject.
	probeFailLimit = 3
	// failFraction is the smoothed fraction of failures that ejects a server; half of it limits the
	// server to one call in flight, so that one that fails fast does not attract traffic.
	failFraction = 0.5
	// minJudged is the number of calls below which fractions and mean latencies prove nothing.
	minJudged = 10
	// smoothing is the weight of the newest value in a moving average.
	smoothing = 0.1
	// quickSmoothing is the weight of the newest value in the average that peers are compared with. It
	// follows a jump that all servers share within few calls, so that no server is blamed for it.
	quickSmoothing = 0.3
	// recentCalls is the time since its last call for which a server is a peer to compare with.
	recentCalls = 5 * time.Second
	// baseSmoothing is the weight of the newest value in the long-term latency of a server.
	baseSmoothing = 0.01
	// coldFactor is the ratio of a call's latency to the server's long-term latency that marks the call
	// as slow; coldRun such calls in a row show that the server is cold.
	coldFactor = 4
	coldRun    = 4
	// outlierFactor is the ratio of a server's latency to the median of its peers that ejects it.
	outlierFactor = 5
	// minGap is the difference in latency below which ratios prove nothing.
	minGap = 2 * time.Millisecond
	// baseEjection and maxEjection bound the duration of an ejection; each one doubles it.
	baseEjection = 5 * time.Second
	maxEjection  = 5 * time.Minute
	// ejectionJitter is the largest relative change of the duration, so that instances and servers do not
	// act in step.
	ejectionJitter = 0.2
	// forgetEjections is the time without trouble after which the duration starts at its base again.
	forgetEjections = 10 * time.Minute
	// drainTime is the time after a server's last announcement for which it counts as draining.
	drainTime = 30 * time.Second
	// askInterval is the time between two questions to the first instance about one server.
	askInterval = time.Second
	// replyTime is the age of a question after which its reply is out of date.
	replyTime = 3 * time.Second
	// joinDelay separates the instances that join in when a server is warm.
	joinDelay = 500 * time.Millisecond
	// warmEvidence is the time for which a good call proves to other instances that a server is warm.
	warmEvidence = 30 * time.Second
	// reportLifetime is the time for which a server's reported slots lower its limit.
	reportLifetime = 5 * time.Second
	// domainWindow is the time in which the servers of a failure domain fail together, when the domain
	// and not the servers is at fault.
	domainWindow = 10 * time.Second
	// freshCalls is the number of first calls in a server's life whose latency says little about its version,
	// unless they are spread over more than freshTime.
	freshCalls = 5
	freshTime  = 30 * time.Second
)
