package pool

import (
	"time"

	"mangolug.org/core/route"
)

const (
	// trialDelay is the time from the latest crash under a poisoned subject to the first request that tries it again; each further trial doubles
	// it, up to maxTrialDelay.
	trialDelay, maxTrialDelay = 15 * time.Second, 10 * time.Minute
	// maxRequestTrials is the number of trials of a poisoned request before requestTrialDelay applies: at most three more sends are allowed in all,
	// and one may cross the verdict.
	maxRequestTrials, requestTrialDelay = 2, 24 * time.Hour
	// trialSlot is the time in which one router may start a trial; in each further slot twice as many may, in case they get no such request.
	trialSlot = 5 * time.Second
)

// trialDue returns the time from which a poisoned subject may be tried again.
func (s *suspect) trialDue() time.Duration {
	latest := s.crashes[len(s.crashes)-1].at
	if s.trials > 0 {
		latest = max(latest, s.triedAt)
	}
	if s.kind == SubjectRequest && s.trials >= maxRequestTrials {
		return latest + requestTrialDelay
	}
	return latest + min(maxTrialDelay, trialDelay<<min(s.trials, 8))
}

// mayTry reports whether this router may try a poisoned subject now. Rendezvous hashing selects the same router in each router's view, so that
// few of them do at once.
func (p *Pool) mayTry(now time.Duration, s *suspect) bool {
	waited := now - s.trialDue()
	if waited < 0 || !p.Joined {
		return false
	}
	allowed := 1 << min(int(waited/trialSlot), 16)
	return p.routersAhead(s.id) < allowed
}

// routersAhead returns the number of other routers that precede this one in the order by rendezvous hashing for a key.
func (p *Pool) routersAhead(key uint64) int {
	own := route.Mix(key ^ hash64(p.Self))
	n := 0
	for _, name := range p.Peers {
		if route.Mix(key^hash64(name)) > own {
			n++
		}
	}
	return n
}

// startTrial records that a request tries a poisoned subject.
func (s *suspect) startTrial(now time.Duration) {
	s.trials++
	s.triedAt, s.changedAt = now, now
}
