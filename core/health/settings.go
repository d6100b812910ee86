package health

import "time"

// DefaultWarmupDelay is the time that an instance waits after it became the owner of a server before it
// sends to the server in warm-up. It exceeds the 3 s of failure detection plus the 2 s for which the
// previous owner may act on its last snapshot.
const DefaultWarmupDelay = 6 * time.Second

// Parameters of the state machine.
const (
	// warmupStepCalls is the number of successful calls per slot of the warm-up limit before the limit
	// doubles.
	warmupStepCalls = 5
	// maxConsecutiveFailures is the number of consecutive failures at which an active server is
	// ejected.
	maxConsecutiveFailures = 5
	// maxWarmupFailures is the number of consecutive failures at which a server in warm-up is ejected.
	maxWarmupFailures = 3
	// maxProbeFailures is the number of consecutive failed probes, without a successful call in
	// between, at which a server is ejected.
	maxProbeFailures = 3
	// maxFailureRate is the smoothed rate of failures at which a server is ejected. Half of it limits
	// the server to one call in flight, because a server that fails fast would otherwise attract
	// traffic.
	maxFailureRate = 0.5
	// minSamples is the number of calls below which failure rates and mean latencies are not
	// representative.
	minSamples = 10
	// smoothing is the weight of the newest value in a moving average.
	smoothing = 0.1
	// shortSmoothing is the weight of the newest value in the average that is compared between peers.
	// It follows an increase that all servers share within a few calls, which keeps single servers from
	// being ejected for it.
	shortSmoothing = 0.3
	// peerWindow is the time after its last call for which a server counts as a peer.
	peerWindow = 5 * time.Second
	// longSmoothing is the weight of the newest value in the long-term latency of a server.
	longSmoothing = 0.01
	// slowFactor is the ratio of a call's latency to the server's long-term latency above which the
	// call counts as slow; maxConsecutiveSlow such calls in a row restart the server's warm-up.
	slowFactor         = 4
	maxConsecutiveSlow = 4
	// outlierFactor is the ratio of a server's mean latency to the median of its peers above which it
	// is ejected.
	outlierFactor = 5
	// minLatencyGap is the difference in latency below which ratios are ignored.
	minLatencyGap = 2 * time.Millisecond
	// baseEjection and maxEjection bound the duration of an ejection, which doubles each time.
	baseEjection = 5 * time.Second
	maxEjection  = 5 * time.Minute
	// ejectionJitter is the largest relative change of the duration of an ejection. It keeps instances and servers
	// from acting at the same time.
	ejectionJitter = 0.2
	// ejectionResetTime is the time in the active state after which the next ejection has the base
	// duration again.
	ejectionResetTime = 10 * time.Minute
	// drainTime is the time after its last announcement for which a server counts as draining.
	drainTime = 30 * time.Second
	// warmQueryInterval is the time between two queries to the owner of a server.
	warmQueryInterval = time.Second
	// warmReplyTimeout is the time after a query for which its reply is accepted.
	warmReplyTimeout = 3 * time.Second
	// joinDelay is the time between the starts of the warm-ups of the other instances once a server is
	// confirmed as warm.
	joinDelay = 500 * time.Millisecond
	// warmEvidenceTime is the time for which a successful call is evidence to other instances that a
	// server is warm.
	warmEvidenceTime = 30 * time.Second
	// reportedSlotsTTL is the time for which the slots that a server reported reduce its limit.
	reportedSlotsTTL = 5 * time.Second
	// domainFailureWindow is the time within which ejections in a failure domain count as a failure of
	// the domain as a whole.
	domainFailureWindow = 10 * time.Second
	// fewCallsCount is the number of first calls to a server whose latency is not representative of its
	// version, unless they are spread over more than fewCallsTime.
	fewCallsCount = 5
	fewCallsTime  = 30 * time.Second
)
