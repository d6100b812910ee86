package canary

import "math"

// tolerance is the odds ratio up to which the new version counts as no worse than the old one.
const tolerance = 1.5

// alternatives are the odds ratios of bad versions for which the test has its best power.
var alternatives = [...]float64{4, 15, 80, 1000} //nolint:gochecknoglobals // a constant table

// ratios holds the logarithm of a likelihood ratio for each of the alternatives.
type ratios [len(alternatives)]float64

// sample is what two versions did in one period.
type sample struct {
	oldCalls, oldBad int
	newCalls, newBad int
}

// process tests the hypothesis that the odds of a bad call of the new version are at most tolerance
// times those of the old one. Its value is that of a nonnegative supermartingale that starts at 1 or
// less when the hypothesis holds, so by Ville's inequality it ever reaches 1/a with probability a at
// most, whatever the number of looks.
//
// Each period is a stratum: given the number of bad calls of both versions together, the number of
// those of the new version follows Fisher's noncentral hypergeometric distribution, which depends on
// the odds ratio only. This removes the unknown and changing rate of bad calls (load, dependencies)
// and is exact for small counts. It is the sequential comparison of two binomials by their odds ratio
// of A. Wald, "Sequential Analysis" (1947), chapter 6, for batches instead of pairs. Products are
// mixed over the alternatives and over the start of the badness, as in J. Shin, A. Ramdas, A. Rinaldo,
// "E-detectors" (2022), but with weights that sum to 1, so that a long good time does not hide a
// version that turns bad later.
type process struct {
	// log holds the logarithm of the sum over start periods for each alternative.
	log     ratios
	periods int
}

// value returns the logarithm of the evidence that the new version is worse.
func (p *process) value() float64 {
	if p.periods == 0 {
		return math.Inf(-1)
	}
	v := math.Inf(-1)
	for _, l := range p.log {
		v = logAdd(v, l)
	}
	return v - math.Log(float64(len(p.log)))
}

// add multiplies the evidence of one period in. Half of the weight of the start periods lies on the
// first one; the rest falls with the square of the period's number.
func (p *process) add(r ratios) {
	p.periods++
	n := float64(p.periods)
	start := 0.5 / (n * (n + 1))
	if p.periods == 1 {
		start += 0.5
		for i := range p.log {
			p.log[i] = math.Inf(-1)
		}
	}
	for i := range p.log {
		p.log[i] = logAdd(p.log[i], math.Log(start)) + r[i]
	}
}

// restart drops the evidence so far. The weights of the start periods that are spent stay spent.
func (p *process) restart() {
	for i := range p.log {
		p.log[i] = math.Inf(-1)
	}
}

// compare returns the likelihood ratios of the alternatives against tolerance, and whether the sample
// says anything.
func compare(s sample) (ratios, bool) {
	var out ratios
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
	null := logSum(weights, lo, math.Log(tolerance))
	for i, a := range alternatives {
		out[i] = float64(s.newBad)*math.Log(a/tolerance) - logSum(weights, lo, math.Log(a)) + null
	}
	return out, true
}

// exceed returns the likelihood ratios against a fixed fraction of bad calls, for the time in which the
// old version has no calls to compare with.
func exceed(calls, bad int, fraction float64) ratios {
	var out ratios
	odds := fraction / (1 - fraction)
	for i, a := range alternatives {
		worse := odds * a / tolerance
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
