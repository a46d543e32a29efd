package pool

import "time"

const (
	// paceFirst is the prompt tokens that a server is believed to read in a millisecond before any answer told.
	paceFirst = 30.0
	// paceLeast and paceMost bound what is learnt, in tokens a millisecond.
	paceLeast, paceMost = 2.0, 1000.0
	// paceUp and paceDown are the parts of one sample in the learnt pace: what a server reaches undisturbed tells its pace, and
	// most of what makes a sample slower is other work.
	paceUp, paceDown = 0.1, 0.01
	// paceTokens is the least work, in tokens, whose time tells the pace: below it fixed costs lead.
	paceTokens = 2000
	// paceAhead: a sample tells the pace only if others had less than one in so many of its own tokens to be read first.
	paceAhead = 4
	// paceFixed is the part of the time to a first event that does not depend on the prompt.
	paceFixed = 25 * time.Millisecond
)

// pace learns how fast the servers of a service read prompts.
type pace struct {
	tokens float64 // in a millisecond
}

// value gives the pace in tokens a millisecond.
func (r *pace) value() float64 {
	if r.tokens == 0 {
		return paceFirst
	}
	return r.tokens
}

// learn takes in how long a server took for the first event with so many tokens to read before it.
func (r *pace) learn(tokens int64, took time.Duration) {
	took -= paceFixed
	if tokens < paceTokens || took <= 0 {
		return
	}
	sample := float64(tokens) / (float64(took) / float64(time.Millisecond))
	sample = min(max(sample, paceLeast), paceMost)
	weight := paceDown
	if sample > r.value() {
		weight = paceUp
	}
	r.tokens = r.value() + weight*(sample-r.value())
}

// time gives how long so many tokens take to read.
func (r *pace) time(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / r.value() * float64(time.Millisecond))
}
