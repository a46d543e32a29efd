package pool

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// minCrashGap is the time between two crashes that count as two: servers that end at the same moment have another cause in common.
	minCrashGap = 100 * time.Millisecond
	// provenWindow is how long a response to a prompt part shows that the part does not crash servers.
	provenWindow = 2 * time.Second
	// maxSuspects bounds the subjects that are remembered for one service, and maxSubjectCrashes the crashes of each.
	maxSuspects, maxSubjectCrashes = 512, 16
)

// suspects are the subjects of requests that ran on servers of one service that ended. The zero value is ready to use.
type suspects struct {
	known       map[subject]*suspect
	proven      prefixCache // when a response to a part was last seen to go on
	refreshedAt time.Duration
}

// suspect is what is known of one subject.
type suspect struct {
	subject
	crashes   []subjectCrash // the first ones since the subject was cleared, by time
	cleared   bool
	clearedAt time.Duration // a response went on after the crashes up to this time
	trials    int           // number of requests that tried the subject after it was poisoned
	triedAt   time.Duration // time of the latest one
	changedAt time.Duration

	evidence     int
	poisoned     bool      // requests with this subject and all its alternatives must not reach servers
	alternatives []subject // what explains its crashes as well
}

// subjectCrash is the end of an incarnation of a server that ran a request with a subject.
type subjectCrash struct {
	server   uint32 // hash of the incarnation
	at       time.Duration
	answered bool // it had just begun to answer such a request
}

func compareCrashes(a, b subjectCrash) int { return cmp.Compare(a.at, b.at) }

// hash returns a hash of the incarnation.
func (i incarnation) hash() uint32 {
	return nameID(i.id + " " + i.address + " " + strconv.FormatInt(i.startMillis, 10))
}

// accuse records the subjects of the requests under which a server ended, as far as no response to them went on.
func (p *Pool) accuse(now time.Duration, b *backend) {
	v, accused := p.service(b.Service), b.crash.subjects
	p.proveOpenRuns(now, v)
	explained := slices.DeleteFunc(slices.Clone(accused), func(s subject) bool {
		return !v.suspects.refuses(s, accused) || evidence(v.suspects.known[s].crashesElsewhere(b.incarnationID)) < minEvidence
	})
	if len(explained) > 0 {
		accused = explained // these were the cause already before this crash
	}
	changed := false
	for _, s := range accused {
		if v.suspects.known[s] == nil && v.suspects.isProven(s, b.crash.at) {
			continue
		}
		c := subjectCrash{b.incarnationID, b.crash.at, slices.Contains(b.crash.answered, s)}
		changed = v.suspects.addCrash(now, s, c) || changed
	}
	if changed {
		p.judge(v)
	}
}

// crashesElsewhere returns the crashes of all servers but one.
func (s *suspect) crashesElsewhere(server uint32) []subjectCrash {
	return slices.DeleteFunc(slices.Clone(s.crashes), func(c subjectCrash) bool { return c.server == server })
}

// addCrash records a crash and reports whether it is news.
func (u *suspects) addCrash(now time.Duration, of subject, c subjectCrash) bool {
	s := u.suspect(now, of)
	if s.cleared && c.at <= s.clearedAt {
		return false
	}
	if i := slices.IndexFunc(s.crashes, func(known subjectCrash) bool { return known.server == c.server }); i >= 0 {
		news := c.answered && !s.crashes[i].answered
		s.crashes[i].answered = s.crashes[i].answered || c.answered
		s.crashes[i].at = min(s.crashes[i].at, c.at)
		slices.SortFunc(s.crashes, compareCrashes)
		if news {
			s.changedAt = now
		}
		return news
	}
	if u.isProven(of, c.at) {
		s.clear(now, c.at+minCrashGap) // the time at other routers may differ a little
		s.changedAt = now
		return true
	}
	if len(s.crashes) == maxSubjectCrashes && c.at >= s.crashes[maxSubjectCrashes-1].at {
		return false
	}
	at, _ := slices.BinarySearchFunc(s.crashes, c, compareCrashes)
	s.crashes = slices.Insert(s.crashes, at, c)
	s.crashes = s.crashes[:min(len(s.crashes), maxSubjectCrashes)]
	s.changedAt = now
	return true
}

// isProven reports whether this router saw a response to a part go on so shortly before a crash, or after it, that the part is not its cause.
// Of requests it keeps no such record: each has another fingerprint, and one that comes again clears itself with its next response.
func (u *suspects) isProven(s subject, crashAt time.Duration) bool {
	if s.kind != SubjectPart {
		return false
	}
	at, ok := u.proven.lastUsed[s.id]
	return ok && crashAt-at <= provenWindow
}

// suspect returns the record of a subject, and creates it if necessary.
func (u *suspects) suspect(now time.Duration, of subject) *suspect {
	s := u.known[of]
	if s != nil {
		return s
	}
	if u.known == nil {
		u.known = make(map[subject]*suspect)
	}
	if len(u.known) >= maxSuspects {
		u.forgetOne()
	}
	s = &suspect{subject: of, changedAt: now}
	u.known[of] = s
	return s
}

// forgetOne removes the subject with the least evidence, and of several the one without news for longest.
func (u *suspects) forgetOne() {
	var least *suspect
	for _, s := range u.known {
		if least == nil || cmp.Or(cmp.Compare(s.evidence, least.evidence), cmp.Compare(s.changedAt, least.changedAt), cmp.Compare(s.id, least.id)) < 0 {
			least = s
		}
	}
	delete(u.known, least.subject)
}

// clear records that a response to the subject went on after all crashes up to a time.
func (s *suspect) clear(now, at time.Duration) {
	if s.cleared && at <= s.clearedAt {
		return
	}
	kept := slices.DeleteFunc(s.crashes, func(c subjectCrash) bool { return c.at <= at })
	if len(kept) < len(s.crashes) || !s.cleared {
		s.changedAt = now
	}
	s.crashes, s.cleared, s.clearedAt = kept, true, at
	if len(kept) == 0 {
		s.trials = 0
	}
}

// prove records that a response to a run went on, or ended well, at some time, so that no subject of its request crashes servers.
func (p *Pool) prove(now, at time.Duration, r *Run) {
	v := p.service(r.Server.Service)
	if shared := r.request.sharedSegments(); len(shared) > 0 {
		v.suspects.proven.record(at, shared)
	}
	if len(v.suspects.known) == 0 {
		return
	}
	changed := false
	for _, of := range r.request.subjects() {
		if s := v.suspects.known[of]; s != nil && len(s.crashes) > 0 {
			s.clear(now, at)
			changed = true
		}
	}
	if changed {
		p.judge(v)
	}
}

// proveOpenRuns clears the subjects of requests to which responses go on.
func (p *Pool) proveOpenRuns(now time.Duration, v *service) {
	for _, b := range v.servers {
		for r := range b.runs {
			if r.proven() {
				p.prove(now, r.lastEvent(), r)
			}
		}
	}
}
