package speed

import (
	"math"
	"time"
)

const (
	// initialRate in tokens per millisecond and initialFixed are the estimates before the first sample.
	initialRate, initialFixed = 30.0, 25 * time.Millisecond
	// minRate and maxRate bound the rate, in tokens per millisecond.
	minRate, maxRate = 2.0, 1000.0
	// maxFixed bounds the fixed part: measured at idle servers it is 7 to 41 ms, and a router that is itself late adds its own delay.
	maxFixed = 200 * time.Millisecond
	// fitSamples is the number of samples that are kept: some ten seconds of them at a router.
	fitSamples = 256
	// fitInterval is the number of samples between two computations once fitSamples/4 were seen, and fitRounds the rounds of each.
	fitInterval, fitRounds = 16, 8
	// fitQuantile is the fraction of samples that are faster than the estimate. Most slower samples are disturbed by other work at the
	// server, and some faster ones had a part of the prompt cached.
	fitQuantile = 0.15
	// minResidual bounds the weight of samples near the estimate.
	minResidual = 2 * time.Millisecond
	// priorSamples is the weight of the initial estimates, in samples, and priorTokens the prompt at which they are assumed.
	priorSamples, priorTokens = 2, 3000
	// maxSample bounds the time of a sample.
	maxSample = time.Minute
)

// Fit estimates the time to first event of a service as a fixed part plus the tokens to be prefilled divided by a rate. It is a quantile
// regression of the newest samples by iteratively reweighted least squares. The zero value is ready to use.
type Fit struct {
	samples []sample
	next    int // index of the oldest sample
	unused  int // samples since the last computation

	fixed     float64 // ms
	perTokens float64 // ms per thousand tokens; 0 before the first sample
}

// sample is one measurement: thousands of tokens, and milliseconds.
type sample struct {
	tokens, took float64
}

// Observe records the time to first event of a request whose server had a number of tokens to prefill at the given speed.
func (f *Fit) Observe(tokens int64, speed float64, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	s := sample{float64(tokens) / bound(speed) / 1000, millis(min(took, maxSample))}
	if len(f.samples) < fitSamples {
		f.samples = append(f.samples, s)
	} else {
		f.samples[f.next] = s
		f.next = (f.next + 1) % fitSamples
	}
	if f.unused++; f.unused >= fitInterval || len(f.samples) < fitSamples/4 {
		f.unused = 0
		f.solve()
	}
}

// solve computes the estimates from the samples and the prior.
func (f *Fit) solve() {
	f.fixed, f.perTokens = millis(f.Fixed()), f.slope()
	for range fitRounds {
		var g sums
		for _, x := range []float64{0, priorTokens / 1000.0} {
			y := millis(initialFixed) + x*1000/initialRate
			g.add(sample{x, y}, priorSamples*fitQuantile/square(y))
		}
		for _, s := range f.samples {
			predicted := f.fixed + s.tokens*f.perTokens
			weight := fitQuantile
			if s.took < predicted {
				weight = 1 - fitQuantile
			}
			g.add(s, weight/(max(math.Abs(s.took-predicted), millis(minResidual))*(predicted+1)))
		}
		f.fixed, f.perTokens = g.line()
	}
}

// sums are the weighted sums of a least squares fit.
type sums struct {
	weight, tokens, took, tokens2, tokensTook float64
}

func (g *sums) add(s sample, weight float64) {
	g.weight += weight
	g.tokens += weight * s.tokens
	g.took += weight * s.took
	g.tokens2 += weight * s.tokens * s.tokens
	g.tokensTook += weight * s.tokens * s.took
}

// line returns the fixed part and the time per thousand tokens, within their bounds.
func (g *sums) line() (fixed, perTokens float64) {
	perTokens = (g.weight*g.tokensTook - g.tokens*g.took) / (g.weight*g.tokens2 - g.tokens*g.tokens)
	perTokens = min(max(perTokens, 1000/maxRate), 1000/minRate)
	fixed = (g.took - perTokens*g.tokens) / g.weight
	if fixed < 0 {
		return 0, min(max(g.tokensTook/g.tokens2, 1000/maxRate), 1000/minRate)
	}
	return min(fixed, millis(maxFixed)), perTokens
}

// Rate returns the rate at which a server of speed 1 prefills prompts, in tokens per millisecond.
func (f *Fit) Rate() float64 { return 1000 / f.slope() }

// slope returns the milliseconds per thousand tokens.
func (f *Fit) slope() float64 {
	if f.perTokens == 0 {
		return 1000 / initialRate
	}
	return f.perTokens
}

// Fixed returns the part of the time to first event that does not depend on the prompt.
func (f *Fit) Fixed() time.Duration {
	if f.perTokens == 0 {
		return initialFixed
	}
	return time.Duration(f.fixed * float64(time.Millisecond))
}

// Duration returns the time in which a server of speed 1 prefills a number of tokens.
func (f *Fit) Duration(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / f.Rate() * float64(time.Millisecond))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func square(x float64) float64 { return x * x }
