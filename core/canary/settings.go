package canary

import "time"

// Times and numbers of a rollout.
const (
	// minStageTime and maxStageTime bound the minimum time of a stage, which is half of its part of the
	// time to the deadline.
	minStageTime = 5 * time.Second
	maxStageTime = 60 * time.Second
	// deadlineReserve is the time before the deadline that the stages do not use.
	deadlineReserve = 2 * time.Second
	// deadlineGrace is the time after the deadline in which an instance can still learn that the rollout
	// has finished elsewhere.
	deadlineGrace = 1500 * time.Millisecond
	// rollbackWindow is the time after the end of a rollout in which it can still be rolled back.
	rollbackWindow = 2 * time.Minute
	// lowTrafficCalls is the number of the new version's calls that a stage needs when its time has passed
	// with too few calls for requiredCalls.
	lowTrafficCalls = 10
	// minStageCalls is the number of calls that every stage above a share of 5 % needs.
	minStageCalls = 5
	// sampleInterval is the length of a sampling period of this instance's own calls.
	sampleInterval = 500 * time.Millisecond
	// reportInterval is the time between two reports to the other serving instances. It is fixed, because
	// periods that end at a bad call would bias the test.
	reportInterval = 2 * time.Second
	// statusRequestInterval is the time between two status requests to the other instances after a start
	// or a pause, in which they can reply.
	statusRequestInterval = time.Second
	// peerDiscoveryTime is the time after a start or a pause in which other instances become known and
	// reply.
	peerDiscoveryTime = 5 * time.Second
	// statusRepeats is the number of messages in which a new status is sent, because messages can get
	// lost.
	statusRepeats = 3
	// maxPeerSilence is the time without contact to a peer after which the deadline does not roll back the
	// rollout: it may have finished elsewhere.
	maxPeerSilence = 6 * time.Second
	// maxPlannedUse is the part of the new version's slots, in per mille, that the rollout plans to use.
	maxPlannedUse = 800
	// peakDecay is the factor applied to the peak of the calls in flight with each tick.
	peakDecay = 0.99
)

// requiredCalls returns the number of the new version's calls that a stage needs with enough traffic. A
// version that fails one of 25 calls has failed by the end of the first stage with probability 0.87, and
// one that fails one of 100 calls by the end of the third stage with probability 0.97.
func requiredCalls(s Stage) int {
	return [...]int{50, 100, 200, 400, 400}[min(max(s, 0), LastStage)]
}
