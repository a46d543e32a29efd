package pool

import "time"

const (
	// initialPrefillRate is the estimate, in tokens per millisecond, before the first sample.
	initialPrefillRate = 30.0
	// minPrefillRate and maxPrefillRate bound the estimate, in tokens per millisecond.
	minPrefillRate, maxPrefillRate = 2.0, 1000.0
	// fasterWeight and slowerWeight are the weights of a sample above and below the estimate. The rate that a server reaches
	// undisturbed is the true one; most slower samples are slowed down by other work.
	fasterWeight, slowerWeight = 0.1, 0.01
	// minSampleTokens is the minimum number of tokens of a sample: below it fixed costs dominate.
	minSampleTokens = 2000
	// maxAheadDivisor limits the samples to requests for which other requests had fewer tokens to be prefilled first than
	// the request's own tokens divided by it.
	maxAheadDivisor = 4
	// prefillOverhead is the part of the time to first token that does not depend on the prompt.
	prefillOverhead = 25 * time.Millisecond
)

// prefillRate estimates how fast the servers of a service prefill prompts.
type prefillRate struct {
	tokensPerMs float64
}

// value returns the estimate in tokens per millisecond.
func (r *prefillRate) value() float64 {
	if r.tokensPerMs == 0 {
		return initialPrefillRate
	}
	return r.tokensPerMs
}

// observe records how long a server took to send the first event after prefilling a number of tokens.
func (r *prefillRate) observe(tokens int64, took time.Duration) {
	took -= prefillOverhead
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	sample := float64(tokens) / (float64(took) / float64(time.Millisecond))
	sample = min(max(sample, minPrefillRate), maxPrefillRate)
	weight := slowerWeight
	if sample > r.value() {
		weight = fasterWeight
	}
	r.tokensPerMs = r.value() + weight*(sample-r.value())
}

// duration returns the estimated time to prefill a number of tokens.
func (r *prefillRate) duration(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / r.value() * float64(time.Millisecond))
}
