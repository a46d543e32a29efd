package limit

import (
	"time"

	"mangolug.org/core/fleet"
)

const (
	floor = 1 // concurrent requests of a server that is cold or unknown

	firstBackoff = 200 * time.Millisecond // first time set aside
	lastBackoff  = 30 * time.Second       // longest time set aside
	failuresKept = 3                      // failures in a row that set a server aside

	slowInRow    = 3                     // slow first bytes in a row that mean a cold server
	slowFactor   = 4                     // times the norm that make a first byte slow
	slowMargin   = 20 * time.Millisecond // least excess over the norm that makes a first byte slow
	normWeight   = 16                    // requests over which the norm is averaged
	slowWeight   = 64                    // weight of the norm against a slow request, so that a lasting change becomes the norm
	normRequests = 4                     // requests before the norm counts

	raisePeriod   = 250 * time.Millisecond // least time between two raises by reports
	queueReports  = 2                      // reports of waiting requests in a row that lower the limit
	reportsMissed = 3                      // failed reads of the load after which the limit rises slowly
)

// Limiter holds one server's learnt limit; set Ceiling before use.
type Limiter struct {
	Ceiling int // concurrent requests, never exceeded

	learnt    int // 0 means the floor
	threshold int // above it the limit rises by one a round; 0 means the ceiling
	credit    int // completions towards the next slow raise

	stated   int // the server's own limit, raised slowly; 0 for none
	statedAt time.Duration
	epoch    uint64
	heard    bool
	found    int // limit taken over from another scheduler's requests, until the first report
	missed   int // failed reads of the load in a row
	queued   int // reports of waiting requests in a row

	paused  time.Duration // when the server was last taken out of service
	resumed time.Duration // when it came back, or its limit was taken over from another scheduler
	kept    int           // limit that it has once a report shows that it did not restart; 0 for none
	keptOf  uint64        // epoch of that limit

	norm     time.Duration // usual time to the first byte
	normSeen int
	slow     int // slow first bytes in a row

	failures int // failures in a row
	reason   fleet.Reason
	backoff  time.Duration
	until    time.Duration // no request before it while set aside
	probing  bool          // one request tries the server that was set aside

	last Cut
}

// Limit gives the learnt number of concurrent requests, at most Bound.
func (l *Limiter) Limit() int {
	return min(max(l.learnt, floor), l.Bound())
}

// Bound gives the ceiling, or the server's own limit where it is lower.
func (l *Limiter) Bound() int {
	if l.stated > 0 {
		return min(l.Ceiling, l.stated)
	}
	return l.Ceiling
}

// Held says why the server takes no request now, and until when; ReasonNone if it takes some.
func (l *Limiter) Held(now time.Duration) (fleet.Reason, time.Duration) {
	if l.reason == fleet.ReasonNone {
		return fleet.ReasonNone, 0
	}
	if now < l.until || l.probing {
		return l.reason, l.until
	}
	return fleet.ReasonNone, 0
}

// Probing reports whether the server takes one request at most, as a trial.
func (l *Limiter) Probing() bool { return l.reason != fleet.ReasonNone }

// Start notes that a request was granted on the server.
func (l *Limiter) Start() {
	if l.reason != fleet.ReasonNone {
		l.probing = true
	}
}

// Lost notes that a granted request will never be reported on.
func (l *Limiter) Lost() { l.probing = false }

// Done learns from the end of a request, with busy as the requests in flight including it.
func (l *Limiter) Done(now time.Duration, d fleet.Done, busy int) {
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
		l.slow++
		l.norm += (first - l.norm) / slowWeight
		if l.slow >= slowInRow {
			l.cut(now, CauseSlow, floor)
			l.slow = 0
		}
		return
	}
	l.slow = 0
	l.learnNorm(first)
	if 2*busy >= l.Limit() {
		l.raise()
	}
}

func (l *Limiter) isSlow(first time.Duration) bool {
	if first == 0 || l.normSeen < normRequests {
		return false
	}
	return first > slowFactor*l.norm && first > l.norm+slowMargin
}

func (l *Limiter) learnNorm(first time.Duration) {
	if first == 0 {
		return
	}
	l.normSeen++
	if l.normSeen == 1 {
		l.norm = first
		return
	}
	l.norm += (first - l.norm) / time.Duration(min(l.normSeen, normWeight))
}

// raise adds one for each completion up to the threshold, and one for each full round above it.
func (l *Limiter) raise() {
	limit := l.Limit()
	if limit >= l.Bound() {
		return
	}
	slowly := l.threshold > 0 && limit >= l.threshold || l.missed >= reportsMissed
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
	l.threshold = max(floor, from/2)
	l.learnt = max(floor, limit)
	l.credit, l.kept = 0, 0
	l.lowered(now, cause, from)
}

func (l *Limiter) overloaded(now time.Duration) {
	if l.Limit() == floor {
		l.setAside(now, fleet.ReasonServerOverloaded, CauseOverloaded)
		return
	}
	l.cut(now, CauseOverloaded, l.Limit()/2)
}

func (l *Limiter) failed(now time.Duration) {
	l.failures++
	if l.failures >= failuresKept || l.reason != fleet.ReasonNone {
		l.setAside(now, fleet.ReasonServerFailed, CauseFailed)
		return
	}
	l.cut(now, CauseFailed, l.Limit()/2)
}

// Stall notes that the server's requests have made no progress for too long.
func (l *Limiter) Stall(now time.Duration) {
	l.setAside(now, fleet.ReasonServerFailed, CauseStalled)
}

func (l *Limiter) setAside(now time.Duration, why fleet.Reason, cause Cause) {
	if l.reason != fleet.ReasonNone && now < l.until {
		return // answers to requests sent before it was set aside
	}
	l.cut(now, cause, floor)
	l.backoff = min(max(2*l.backoff, firstBackoff), lastBackoff)
	l.reason, l.until, l.probing = why, now+l.backoff, false
}

// Load learns from the server's own report, which may lower the limit at once and raise it slowly.
func (l *Limiter) Load(now time.Duration, r fleet.Load) {
	l.missed = 0
	switch {
	case !l.heard && r.Waiting == 0:
		l.learnt = max(l.learnt, min(r.Running, l.Ceiling))
	case !l.heard && l.learnt == l.found:
		l.learnt = floor
	case l.heard && r.Epoch != l.epoch:
		l.turnedCold(now)
	}
	l.heard, l.epoch = true, r.Epoch
	l.restore(now, r)
	l.state(now, r.Limit)
	l.queue(now, r)
}

// queue lowers the limit when the server keeps requests waiting that it admitted.
func (l *Limiter) queue(now time.Duration, r fleet.Load) {
	if r.Waiting == 0 {
		l.queued = 0
		return
	}
	l.queued++
	if l.queued >= queueReports && r.Running < l.Limit() {
		l.cut(now, CauseQueueing, r.Running)
	}
}

// turnedCold forgets what was learnt of the server before it restarted.
func (l *Limiter) turnedCold(now time.Duration) {
	from := l.Limit()
	l.learnt, l.threshold, l.credit, l.kept = floor, 0, 0, 0
	l.norm, l.normSeen, l.slow = 0, 0, 0
	l.lowered(now, CauseRestarted, from)
}

func (l *Limiter) state(now time.Duration, limit int) {
	switch {
	case limit <= 0:
		l.stated = 0
	case l.stated == 0 || limit <= l.stated:
		from := l.Limit()
		l.stated, l.statedAt = limit, now
		l.learnt = min(l.Limit(), limit)
		l.lowered(now, CauseStated, from)
	case now >= l.statedAt+raisePeriod:
		l.stated = min(limit, l.stated+max(1, l.stated/4))
		l.statedAt = now
	}
}

// Found notes requests in flight that another scheduler granted, which the server is taken
// to bear until its first report.
func (l *Limiter) Found(busy int) {
	if !l.heard {
		l.learnt = max(l.learnt, min(busy, l.Ceiling))
		l.found = l.learnt
	}
}

// Heard reports whether the server's own report was ever read.
func (l *Limiter) Heard() bool { return l.heard }

// LoadFailed notes that the server's report could not be read.
func (l *Limiter) LoadFailed() { l.missed++ }
