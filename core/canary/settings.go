package canary

import "time"

// Times and numbers of a rollout.
const (
	// minDwell and maxDwell bound the time of a stage; within them a stage lasts half of its even part of
	// the time to the deadline.
	minDwell = 5 * time.Second
	maxDwell = 60 * time.Second
	// reserve is the part of the time to the deadline that the stages do not use.
	reserve = 2 * time.Second
	// grace is the time after the deadline for which an instance waits for the news that the rollout has
	// finished elsewhere.
	grace = 1500 * time.Millisecond
	// watchTime is the time after a rollout is done for which it can still be rolled back.
	watchTime = 2 * time.Minute
	// fewCalls is the number of calls of the new version that a stage needs after its time, when there is
	// too little traffic to judge by.
	fewCalls = 10
	// leastCalls is the number of calls without which no stage above a share of 5 % ends.
	leastCalls = 5
	// sampleInterval is the time between two periods of this instance's own calls.
	sampleInterval = 500 * time.Millisecond
	// reportInterval is the time between two reports to the other serving instances. It is fixed,
	// because periods that end at a bad call would bias the test.
	reportInterval = 2 * time.Second
	// askInterval is the time that the other instances have to confirm a status after a start or a pause,
	// and the time between two questions.
	askInterval = time.Second
	// settleTime is the time after a start or a pause in which other instances become known and respond.
	settleTime = 5 * time.Second
	// announcements is the number of messages with a new status, because one can get lost.
	announcements = 3
	// newsTime is the age of news from other instances beyond which a rollout is not
	// ended by its deadline alone: it may have finished elsewhere.
	newsTime = 6 * time.Second
	// headroom is the part of the new version's slots, in per mille, that the rollout plans to use.
	headroom = 800
	// peakDecay is the factor by which the peak of the calls in flight falls in each tick.
	peakDecay = 0.99
)

// needCalls returns the number of calls of the new version that a stage needs. A version with a
// failure in 25 calls has failed by the end of the first stage with a probability of 0.87, and one with
// a failure in 100 calls by the end of the third one with 0.97.
func needCalls(s Stage) int {
	return [...]int{50, 100, 200, 400, 400}[min(max(s, 0), Last)]
}
