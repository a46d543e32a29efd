package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"mangolug.org/core/digest"
)

const (
	// suspectTTL is how long a subject is remembered without news of it.
	suspectTTL = 10 * time.Minute
	// maxSuspectsSent bounds the subjects in one message to other routers.
	maxSuspectsSent = 32
	// resendTime is how long news for other routers is repeated in messages, which may be lost; a subject that may be poisoned is repeated each
	// suspectRefresh besides.
	resendTime, suspectRefresh = 400 * time.Millisecond, time.Second
)

// Suspects returns what the other routers should know of prompt parts and requests that may crash servers. It is called once per period.
func (p *Pool) Suspects(now time.Duration) []digest.Suspect {
	var list []digest.Suspect
	for _, v := range p.services {
		if len(v.suspects.known) > 0 {
			p.proveOpenRuns(now, v)
			v.suspects.forget(now)
			list = append(list, v.suspects.news(now, nameID(v.name))...)
		}
	}
	slices.SortFunc(list, func(a, b digest.Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.ID, b.ID))
	})
	return list[:min(len(list), maxSuspectsSent)]
}

// forget removes subjects that are not poisoned and of which there was no news for long.
func (u *suspects) forget(now time.Duration) {
	for of, s := range u.known {
		if now-s.changedAt > suspectTTL && !s.poisoned {
			delete(u.known, of)
		}
	}
}

// news returns the subjects that changed lately and, each suspectRefresh, those that are or may become poisoned.
func (u *suspects) news(now time.Duration, service uint32) []digest.Suspect {
	refresh := now-u.refreshedAt >= suspectRefresh
	if refresh {
		u.refreshedAt = now
	}
	var list []digest.Suspect
	for _, s := range u.known {
		if now-s.changedAt > resendTime && !(refresh && len(s.crashes) > 1) {
			continue
		}
		d := digest.Suspect{Service: service, ID: s.id, Request: s.kind == SubjectRequest, Cleared: s.cleared, ClearedAge: now - s.clearedAt, Trials: int64(s.trials), TriedAge: now - s.triedAt}
		for _, c := range s.crashes {
			d.Crashes = append(d.Crashes, digest.Crash{Server: c.server, Age: now - c.at, Answered: c.answered})
		}
		list = append(list, d)
	}
	return list
}

// MergeSuspects applies what another router knows. Merging the same news twice changes nothing, so that it may travel on any path.
func (p *Pool) MergeSuspects(now time.Duration, list []digest.Suspect) {
	p.init()
	changed := make(map[*service]bool)
	for i := range list {
		d := &list[i]
		for _, v := range p.services {
			if nameID(v.name) == d.Service && v.suspects.merge(now, d) {
				changed[v] = true
			}
		}
	}
	for v := range changed {
		p.judge(v)
	}
}

func (u *suspects) merge(now time.Duration, d *digest.Suspect) bool {
	of := subject{SubjectPart, d.ID}
	if d.Request {
		of.kind = SubjectRequest
	}
	changed := false
	if s := u.known[of]; d.Cleared && s != nil && (!s.cleared || now-d.ClearedAge > s.clearedAt) {
		before := len(s.crashes)
		s.clear(now, now-d.ClearedAge)
		changed = len(s.crashes) < before
	}
	for _, c := range d.Crashes {
		if !d.Cleared || c.Age < d.ClearedAge {
			changed = u.addCrash(now, of, subjectCrash{c.Server, now - c.Age, c.Answered}) || changed
		}
	}
	if s := u.known[of]; s != nil && d.Trials > int64(s.trials) && len(s.crashes) > 0 {
		s.trials, s.triedAt, s.changedAt = int(min(d.Trials, math.MaxInt32)), now-d.TriedAge, now
	}
	return changed
}
