package canary

import "math"

// toleratedOddsRatio is the odds ratio up to which the new version counts as no worse than the old one.
const toleratedOddsRatio = 1.5

// alternativeOddsRatios are the odds ratios of bad versions for which the test has its best power.
var alternativeOddsRatios = [...]float64{4, 15, 80, 1000} //nolint:gochecknoglobals // a constant table

// logRatios holds the logarithm of a likelihood ratio for each alternative.
type logRatios [len(alternativeOddsRatios)]float64

// sample holds the calls and the bad calls of both versions in one period.
type sample struct {
	oldCalls, oldBad int
	newCalls, newBad int
}

// sequentialTest tests the hypothesis that the odds of a bad call of the new version are at most
// toleratedOddsRatio times those of the old one. Under the hypothesis, the evidence is a nonnegative
// supermartingale that starts at 1 or less. By Ville's inequality it ever reaches 1/a with probability a
// at most, however often it is checked.
//
// Each period is a stratum: given the number of bad calls of both versions together, the number of those
// of the new version follows Fisher's noncentral hypergeometric distribution, which depends on the odds
// ratio only. This removes the unknown and changing rate of bad calls (load, dependencies) and is exact
// for small counts. It is the sequential comparison of two binomials by their odds ratio of A. Wald,
// "Sequential Analysis" (1947), chapter 6, for batches instead of pairs. Products are mixed over the
// alternatives and over the first bad period, as in J. Shin, A. Ramdas, A. Rinaldo, "E-detectors" (2022).
// Unlike there, the weights sum to 1: a long time without bad calls does not hide a version that turns bad
// later.
type sequentialTest struct {
	// logSums holds the logarithm of the sum over start periods for each alternative.
	logSums logRatios
	periods int
}

// logEvidence returns the logarithm of the evidence that the new version is worse.
func (t *sequentialTest) logEvidence() float64 {
	if t.periods == 0 {
		return math.Inf(-1)
	}
	v := math.Inf(-1)
	for _, l := range t.logSums {
		v = logAdd(v, l)
	}
	return v - math.Log(float64(len(t.logSums)))
}

// addPeriod multiplies the evidence by that of one period. Half of the weight goes to the first start
// period; the rest is spread over the start periods and falls with the square of their number.
func (t *sequentialTest) addPeriod(r logRatios) {
	t.periods++
	n := float64(t.periods)
	start := 0.5 / (n * (n + 1))
	if t.periods == 1 {
		start += 0.5
		for i := range t.logSums {
			t.logSums[i] = math.Inf(-1)
		}
	}
	for i := range t.logSums {
		t.logSums[i] = logAdd(t.logSums[i], math.Log(start)) + r[i]
	}
}

// reset drops the evidence so far. Weights of past start periods are not used again.
func (t *sequentialTest) reset() {
	for i := range t.logSums {
		t.logSums[i] = math.Inf(-1)
	}
}

// conditionalRatios returns the likelihood ratios of the alternatives against toleratedOddsRatio, and
// whether the sample allows a comparison.
func conditionalRatios(s sample) (logRatios, bool) {
	var out logRatios
	bad := s.oldBad + s.newBad
	lo, hi := max(0, bad-s.oldCalls), min(bad, s.newCalls)
	if lo >= hi {
		return out, false
	}
	weights := make([]float64, hi-lo+1)
	for i := range weights {
		x := lo + i
		weights[i] = logChoose(s.newCalls, x) + logChoose(s.oldCalls, bad-x)
	}
	null := logSum(weights, lo, math.Log(toleratedOddsRatio))
	for i, a := range alternativeOddsRatios {
		out[i] = float64(s.newBad)*math.Log(a/toleratedOddsRatio) - logSum(weights, lo, math.Log(a)) + null
	}
	return out, true
}

// fixedLimitRatios returns the likelihood ratios against a fixed fraction of bad calls. It is used while
// the old version has no calls to compare with.
func fixedLimitRatios(calls, bad int, fraction float64) logRatios {
	var out logRatios
	odds := fraction / (1 - fraction)
	for i, a := range alternativeOddsRatios {
		worse := odds * a / toleratedOddsRatio
		p := worse / (1 + worse)
		out[i] = float64(bad)*math.Log(p/fraction) + float64(calls-bad)*math.Log((1-p)/(1-fraction))
	}
	return out
}

// logSum returns the logarithm of the sum of exp(weights[i] + (lo+i)*slope).
func logSum(weights []float64, lo int, slope float64) float64 {
	top := math.Inf(-1)
	for i, w := range weights {
		top = max(top, w+float64(lo+i)*slope)
	}
	var sum float64
	for i, w := range weights {
		sum += math.Exp(w + float64(lo+i)*slope - top)
	}
	return top + math.Log(sum)
}

func logAdd(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}

func logChoose(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}
