package limit

import (
	"time"

	"mangolug.org/core/fleet"
)

const (
	minLimit = 1 // concurrent requests for a cold or unknown server

	minBackoff = 200 * time.Millisecond // duration of the first ejection
	maxBackoff = 30 * time.Second       // longest ejection
	ejectAfter = 3                      // consecutive failures that eject a server

	slowStreak       = 3                     // consecutive slow first bytes that indicate a cold server
	slowFactor       = 4                     // a first byte is slow only above this multiple of the baseline
	slowMargin       = 20 * time.Millisecond // a first byte is slow only if it exceeds the baseline by more than this
	baselineWeight   = 16                    // weight of the moving average, in requests
	slowWeight       = 64                    // weight of the baseline against a slow request, so that a lasting change moves the baseline
	baselineRequests = 4                     // requests before the baseline is used

	raisePeriod  = 250 * time.Millisecond // least time between two raises by reports
	queueStreak  = 2                      // consecutive reports of waiting requests that lower the limit
	missedStreak = 3                      // consecutive failed reads of the load after which the limit rises slowly
)

// Limiter learns the concurrency limit of one backend server. Set Ceiling before use.
type Limiter struct {
	Ceiling int // upper bound on concurrent requests

	learnt    int // 0 means minLimit
	threshold int // above it the limit rises by one per round of completions; 0 means the ceiling
	credit    int // completions counted towards the next slow raise

	advertised    int // limit that the server advertises, raised slowly; 0 for none
	advertisedAt  time.Duration
	epoch         uint64
	reported      bool // a load report was read
	inferred      int  // limit inferred from another scheduler's requests in flight, until the first report
	missedReports int  // consecutive failed reads of the load
	queueReports  int  // consecutive reports of waiting requests

	paused     time.Duration // when the server was last taken out of service
	resumed    time.Duration // when it returned to service, or its limit was inherited from another scheduler
	saved      int           // limit to restore once a report shows that the server did not restart; 0 for none
	savedEpoch uint64        // epoch in which saved was learnt

	baseline      time.Duration // moving average of the time to first byte
	baselineCount int
	slowCount     int // consecutive slow first bytes

	failures     int // consecutive failures
	reason       fleet.Reason
	backoff      time.Duration
	ejectedUntil time.Duration // no request is granted before this time while ejected
	probing      bool          // a trial request is in flight on the ejected server

	lastCut Cut
}

// Limit returns the learnt limit of concurrent requests, at most Bound.
func (l *Limiter) Limit() int {
	return min(max(l.learnt, minLimit), l.Bound())
}

// Bound returns the ceiling, or the limit that the server advertises if that is lower.
func (l *Limiter) Bound() int {
	if l.advertised > 0 {
		return min(l.Ceiling, l.advertised)
	}
	return l.Ceiling
}

// Ejected returns why the server takes no requests now and until when. The reason is ReasonNone if the server takes requests.
func (l *Limiter) Ejected(now time.Duration) (fleet.Reason, time.Duration) {
	if l.reason == fleet.ReasonNone {
		return fleet.ReasonNone, 0
	}
	if now < l.ejectedUntil || l.probing {
		return l.reason, l.ejectedUntil
	}
	return fleet.ReasonNone, 0
}

// Probing reports whether the server takes at most one request, as a trial after an ejection.
func (l *Limiter) Probing() bool { return l.reason != fleet.ReasonNone }

// Start records that a request was granted on the server.
func (l *Limiter) Start() {
	if l.reason != fleet.ReasonNone {
		l.probing = true
	}
}

// ObserveLost records that the end of a granted request will never be reported.
func (l *Limiter) ObserveLost() { l.probing = false }

// ObserveDone updates the limit from the end of a request. busy is the number of requests in flight, including this one.
func (l *Limiter) ObserveDone(now time.Duration, d fleet.Done, busy int) {
	l.probing = false
	switch d.Outcome {
	case fleet.OutcomeCompleted:
		l.completed(now, time.Duration(d.FirstByte)*time.Microsecond, busy)
	case fleet.OutcomeOverloaded:
		l.overloaded(now)
	case fleet.OutcomeFailed, fleet.OutcomeUnreached:
		l.failed(now)
	}
}

func (l *Limiter) completed(now, first time.Duration, busy int) {
	l.failures = 0
	l.reason, l.backoff = fleet.ReasonNone, 0
	if l.isSlow(first) {
		l.slowCount++
		l.baseline += (first - l.baseline) / slowWeight
		if l.slowCount >= slowStreak {
			l.cut(now, CauseSlow, minLimit)
			l.slowCount = 0
		}
		return
	}
	l.slowCount = 0
	l.updateBaseline(first)
	if 2*busy >= l.Limit() {
		l.raise()
	}
}

func (l *Limiter) isSlow(first time.Duration) bool {
	if first == 0 || l.baselineCount < baselineRequests {
		return false
	}
	return first > slowFactor*l.baseline && first > l.baseline+slowMargin
}

func (l *Limiter) updateBaseline(first time.Duration) {
	if first == 0 {
		return
	}
	l.baselineCount++
	if l.baselineCount == 1 {
		l.baseline = first
		return
	}
	l.baseline += (first - l.baseline) / time.Duration(min(l.baselineCount, baselineWeight))
}

// raise adds one to the limit for each completion up to the threshold, and one for each full round of completions above it.
func (l *Limiter) raise() {
	limit := l.Limit()
	if limit >= l.Bound() {
		return
	}
	slowly := l.threshold > 0 && limit >= l.threshold || l.missedReports >= missedStreak
	if slowly {
		l.credit++
		if l.credit < limit {
			return
		}
	}
	l.credit = 0
	l.learnt = limit + 1
}

func (l *Limiter) cut(now time.Duration, cause Cause, limit int) {
	from := l.Limit()
	l.threshold = max(minLimit, from/2)
	l.learnt = max(minLimit, limit)
	l.credit, l.saved = 0, 0
	l.recordCut(now, cause, from)
}

func (l *Limiter) overloaded(now time.Duration) {
	if l.Limit() == minLimit {
		l.eject(now, fleet.ReasonServerOverloaded, CauseOverloaded)
		return
	}
	l.cut(now, CauseOverloaded, l.Limit()/2)
}

func (l *Limiter) failed(now time.Duration) {
	l.failures++
	if l.failures >= ejectAfter || l.reason != fleet.ReasonNone {
		l.eject(now, fleet.ReasonServerFailed, CauseFailed)
		return
	}
	l.cut(now, CauseFailed, l.Limit()/2)
}

// Stall ejects the server because its requests have made no progress for too long.
func (l *Limiter) Stall(now time.Duration) {
	l.eject(now, fleet.ReasonServerFailed, CauseStalled)
}

func (l *Limiter) eject(now time.Duration, why fleet.Reason, cause Cause) {
	if l.reason != fleet.ReasonNone && now < l.ejectedUntil {
		return // answer to a request sent before the ejection
	}
	l.cut(now, cause, minLimit)
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	l.reason, l.ejectedUntil, l.probing = why, now+l.backoff, false
}

// ObserveLoad updates the limit from the server's load report, which lowers the limit at once and raises it slowly.
func (l *Limiter) ObserveLoad(now time.Duration, r fleet.Load) {
	l.missedReports = 0
	switch {
	case !l.reported && r.Waiting == 0:
		l.learnt = max(l.learnt, min(r.Running, l.Ceiling))
	case !l.reported && l.learnt == l.inferred:
		l.learnt = minLimit
	case l.reported && r.Epoch != l.epoch:
		l.restarted(now)
	}
	l.reported, l.epoch = true, r.Epoch
	l.restore(now, r)
	l.updateAdvertised(now, r.Limit)
	l.observeQueue(now, r)
}

// observeQueue lowers the limit when the server repeatedly reports admitted requests that wait for service.
func (l *Limiter) observeQueue(now time.Duration, r fleet.Load) {
	if r.Waiting == 0 {
		l.queueReports = 0
		return
	}
	l.queueReports++
	if l.queueReports >= queueStreak && r.Running < l.Limit() {
		l.cut(now, CauseQueueing, r.Running)
	}
}

// restarted discards what was learnt before the server restarted.
func (l *Limiter) restarted(now time.Duration) {
	from := l.Limit()
	l.learnt, l.threshold, l.credit, l.saved = minLimit, 0, 0, 0
	l.baseline, l.baselineCount, l.slowCount = 0, 0, 0
	l.recordCut(now, CauseRestarted, from)
}

func (l *Limiter) updateAdvertised(now time.Duration, limit int) {
	switch {
	case limit <= 0:
		l.advertised = 0
	case l.advertised == 0 || limit <= l.advertised:
		from := l.Limit()
		l.advertised, l.advertisedAt = limit, now
		l.learnt = min(l.Limit(), limit)
		l.recordCut(now, CauseAdvertised, from)
	case now >= l.advertisedAt+raisePeriod:
		l.advertised = min(limit, l.advertised+max(1, l.advertised/4))
		l.advertisedAt = now
	}
}

// InferInFlight raises the limit to the number of requests in flight that another scheduler granted,
// until the server's first report.
func (l *Limiter) InferInFlight(busy int) {
	if !l.reported {
		l.learnt = max(l.learnt, min(busy, l.Ceiling))
		l.inferred = l.learnt
	}
}

// Reported reports whether a load report of the server was ever read.
func (l *Limiter) Reported() bool { return l.reported }

// LoadUnavailable records that the server's load report could not be read.
func (l *Limiter) LoadUnavailable() { l.missedReports++ }
