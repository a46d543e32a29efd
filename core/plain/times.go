package plain

import "time"

const (
	// timeWindow is the averaging window of service times.
	timeWindow = 3 * time.Second
	// warmUp is how long the rates of a router that starts are too low to tell a service time.
	warmUp = 4 * rateWindow
	// minResponses is the decayed number of responses from which a service time is known.
	minResponses = 8
	// priorResponses is the weight, in responses, of the service's time in the time of one of its servers. With less, the servers
	// seem to differ where each router gets few responses.
	priorResponses = 20
	// minFactor and maxFactor bound the time of a server relative to its service.
	minFactor, maxFactor = 0.4, 4
)

// serviceTimes measures how long the servers of a service work on a request.
type serviceTimes struct {
	sums ratio // running requests and responses per second of all routers, times the time for which they were seen
	own  ratio // times of this router's requests, and the service times that they were expected to take
	took ratio // times of this router's requests, and their number
}

func (v *serviceTimes) observe(now, took time.Duration, turns float64) {
	v.own.observe(now, timeWindow, took.Seconds(), turns)
	v.took.observe(now, timeWindow, took.Seconds(), 1)
}

// observeSums records how many requests the servers run for all routers, and the responses per second to these.
func (v *serviceTimes) observeSums(now time.Duration, running, ended float64) {
	elapsed := 0.0
	if v.sums.at > 0 {
		elapsed = min(now-v.sums.at, time.Second).Seconds()
	}
	v.sums.observe(max(1, now), timeWindow, running*elapsed, ended*elapsed)
}

// mean returns the service time. By Little's law it is the number of running requests divided by the rate of responses. No
// request takes less in all, so that the mean time of this router's own requests bounds it; it would be too long while routers
// of the previous version tell no responses. A router that never knew the others' sums has its own requests only.
func (v *serviceTimes) mean(peersKnown bool) (time.Duration, bool) {
	seconds := 0.0
	switch {
	case v.sums.under >= minResponses:
		seconds = v.sums.over / v.sums.under
		if v.took.under >= minResponses {
			seconds = min(seconds, v.took.over/v.took.under)
		}
	case !peersKnown && v.own.under >= minResponses:
		seconds = v.own.over / v.own.under
	}
	t := time.Duration(seconds * float64(time.Second))
	return t, t > 0
}

// waitTurns returns the expected time to a response in service times: a request waits while all slots are taken.
func waitTurns(load float64, slots int) float64 {
	n := float64(max(1, slots))
	return 1 + max(0, load+1-n)/n
}

// Speed is how long work takes at one server relative to its service, as seen by this router. The zero value works.
type Speed struct{ times ratio }

// factor returns how long work takes at a server relative to its service, whose service time is given.
func (v *Speed) factor(t time.Duration) float64 {
	if v == nil {
		return 1
	}
	prior := priorResponses * t.Seconds()
	return min(max((v.times.over+prior)/(v.times.under+prior), minFactor), maxFactor)
}
