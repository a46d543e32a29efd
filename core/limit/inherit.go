package limit

import (
	"time"

	"mangolug.org/core/fleet"
)

const (
	warmTime       = time.Minute            // a server that was out of service for longer is treated as cold
	minRestartTime = 500 * time.Millisecond // shortest duration of a restart; a report younger than this is from the current incarnation
)

// Pause records that the server was taken out of service.
func (l *Limiter) Pause(now time.Duration) { l.paused = now }

// Resume returns a server to service. The limit starts from busy, the number of requests that the server still runs.
// If the server was out of service for at most a minute, its previous limit is restored once a report shows that it
// did not restart.
func (l *Limiter) Resume(now time.Duration, busy int) {
	l.saved = 0
	if l.reported && l.epoch != 0 && now-l.paused <= warmTime {
		l.saved, l.savedEpoch, l.resumed = l.Limit(), l.epoch, now
	}
	l.learnt = max(minLimit, min(busy, l.Limit()))
	l.credit = 0
}

// Learnt returns the limit and the epoch in which it was learnt. Both are 0 if there is no report or no epoch.
func (l *Limiter) Learnt() (epoch uint64, limit int) {
	if !l.reported || l.epoch == 0 {
		return 0, 0
	}
	return l.epoch, l.Limit()
}

// Inherit adopts the limit that another scheduler learnt in an epoch. The limit takes effect once a report shows the same
// epoch, unless the limit was cut before, for example because of an overload.
func (l *Limiter) Inherit(now time.Duration, epoch uint64, limit int) {
	l.saved = 0
	if epoch != 0 && l.threshold == 0 {
		l.saved, l.savedEpoch, l.resumed = limit, epoch, now
	}
}

// restore applies the saved limit if the report shows that the server did not restart. A report that was measured before
// the server returned to service rules out a restart only if it is younger than the shortest restart, because a
// restarting server refuses requests.
func (l *Limiter) restore(now time.Duration, r fleet.Load) {
	measured := now - time.Duration(r.Age)*time.Millisecond
	if r.Epoch != l.savedEpoch {
		l.saved = 0
	}
	if l.saved == 0 || r.Waiting > 0 || measured < l.resumed && now-measured > minRestartTime {
		return
	}
	l.learnt, l.saved = max(l.learnt, min(l.saved, l.Ceiling)), 0
}
