package limit

import (
	"time"

	"mangolug.org/core/fleet"
)

const (
	warmTime    = time.Minute            // out of service for longer, a server is taken as cold
	restartTime = 500 * time.Millisecond // least time a restart takes, so that a younger report is of the life that serves now
)

// Pause notes that the server was taken out of service.
func (l *Limiter) Pause(now time.Duration) { l.paused = now }

// Resume warms a server that took no work for a while, beginning with the requests it still runs; one that was out of
// service for a minute at most has its limit back once a report shows that it did not restart.
func (l *Limiter) Resume(now time.Duration, busy int) {
	l.kept = 0
	if l.heard && l.epoch != 0 && now-l.paused <= warmTime {
		l.kept, l.keptOf, l.resumed = l.Limit(), l.epoch, now
	}
	l.learnt = max(floor, min(busy, l.Limit()))
	l.credit = 0
}

// Learnt gives the limit and the epoch in which it was learnt, 0 for none.
func (l *Limiter) Learnt() (epoch uint64, limit int) {
	if !l.heard || l.epoch == 0 {
		return 0, 0
	}
	return l.epoch, l.Limit()
}

// Inherit takes over the limit that another scheduler learnt in an epoch; it holds once a report shows the same epoch, unless
// trouble was met before.
func (l *Limiter) Inherit(now time.Duration, epoch uint64, limit int) {
	l.kept = 0
	if epoch != 0 && l.threshold == 0 {
		l.kept, l.keptOf, l.resumed = limit, epoch, now
	}
}

// restore gives the limit back to a server that came back as it was. A report from before the return tells of a restart
// since only if it is younger than a restart takes: until then a server that restarts refuses requests.
func (l *Limiter) restore(now time.Duration, r fleet.Load) {
	measured := now - time.Duration(r.Age)*time.Millisecond
	if r.Epoch != l.keptOf {
		l.kept = 0
	}
	if l.kept == 0 || r.Waiting > 0 || measured < l.resumed && now-measured > restartTime {
		return
	}
	l.learnt, l.kept = max(l.learnt, min(l.kept, l.Ceiling)), 0
}
