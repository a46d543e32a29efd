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
	// provenWindow is how long a response to a prompt part shows that it does not crash servers.
	provenWindow = 2 * time.Second
	// maxSuspects bounds the parts that are remembered for one service, and maxPartCrashes the crashes of each.
	maxSuspects, maxPartCrashes = 512, 16
)

// suspects are the prompt parts whose requests ran on servers of one service that ended. The zero value is ready to use.
type suspects struct {
	parts       map[uint64]*suspect
	proven      prefixCache // when a response to a part was last seen to go on
	refreshedAt time.Duration
}

// suspect is what is known of one part.
type suspect struct {
	part      uint64
	crashes   []partCrash // the first ones since the part was cleared, by time
	cleared   bool
	clearedAt time.Duration // a response to the part went on after the crashes up to this time
	trials    int           // number of requests that tried the part after it was poisoned
	triedAt   time.Duration // time of the latest one
	changedAt time.Duration

	evidence     int
	poisoned     bool     // requests with this part and all its alternatives must not reach servers
	alternatives []uint64 // parts that explain its crashes as well
}

// partCrash is the end of an incarnation of a server that ran a request with a part.
type partCrash struct {
	server   uint32 // hash of the incarnation
	at       time.Duration
	answered bool // it had just begun to answer a prompt with the part
}

func compareCrashes(a, b partCrash) int { return cmp.Compare(a.at, b.at) }

// hash returns a hash of the incarnation.
func (i incarnation) hash() uint32 {
	return nameID(i.id + " " + i.address + " " + strconv.FormatInt(i.startMillis, 10))
}

// accuse records the parts of the prompts under which a server ended, as far as no response to them went on.
func (p *Pool) accuse(now time.Duration, b *backend) {
	v, parts := p.service(b.Service), b.crash.parts
	p.proveOpenRuns(now, v)
	known := slices.DeleteFunc(slices.Clone(parts), func(part uint64) bool { return v.suspects.parts[part] == nil || !v.suspects.parts[part].poisoned })
	if len(known) > 0 {
		parts = known // they explain the crash
	}
	changed := false
	for _, part := range parts {
		if v.suspects.parts[part] == nil && v.suspects.isProven(part, b.crash.at) {
			continue
		}
		c := partCrash{b.incarnationID, b.crash.at, slices.Contains(b.crash.answered, part)}
		changed = v.suspects.addCrash(now, part, c) || changed
	}
	if changed {
		p.judge(v)
	}
}

// addCrash records a crash and reports whether it is news.
func (u *suspects) addCrash(now time.Duration, part uint64, c partCrash) bool {
	s := u.suspect(now, part)
	if s.cleared && c.at <= s.clearedAt {
		return false
	}
	if i := slices.IndexFunc(s.crashes, func(known partCrash) bool { return known.server == c.server }); i >= 0 {
		news := c.answered && !s.crashes[i].answered
		s.crashes[i].answered = s.crashes[i].answered || c.answered
		s.crashes[i].at = min(s.crashes[i].at, c.at)
		slices.SortFunc(s.crashes, compareCrashes)
		if news {
			s.changedAt = now
		}
		return news
	}
	if u.isProven(part, c.at) {
		s.clear(now, c.at+minCrashGap) // the time at other routers may differ a little
		s.changedAt = now
		return true
	}
	if len(s.crashes) == maxPartCrashes && c.at >= s.crashes[maxPartCrashes-1].at {
		return false
	}
	at, _ := slices.BinarySearchFunc(s.crashes, c, compareCrashes)
	s.crashes = slices.Insert(s.crashes, at, c)
	s.crashes = s.crashes[:min(len(s.crashes), maxPartCrashes)]
	s.changedAt = now
	return true
}

// isProven reports whether this router saw a response to a part go on so shortly before a crash, or after it, that the part is not its cause.
func (u *suspects) isProven(part uint64, crashAt time.Duration) bool {
	at, ok := u.proven.lastUsed[part]
	return ok && crashAt-at <= provenWindow
}

// suspect returns the record of a part, and creates it if necessary.
func (u *suspects) suspect(now time.Duration, part uint64) *suspect {
	s := u.parts[part]
	if s != nil {
		return s
	}
	if u.parts == nil {
		u.parts = make(map[uint64]*suspect)
	}
	if len(u.parts) >= maxSuspects {
		u.forgetOne()
	}
	s = &suspect{part: part, changedAt: now}
	u.parts[part] = s
	return s
}

// forgetOne removes the part with the least evidence, and of several the one without news for longest.
func (u *suspects) forgetOne() {
	var least *suspect
	for _, s := range u.parts {
		if least == nil || cmp.Or(cmp.Compare(s.evidence, least.evidence), cmp.Compare(s.changedAt, least.changedAt), cmp.Compare(s.part, least.part)) < 0 {
			least = s
		}
	}
	delete(u.parts, least.part)
}

// clear records that a response to the part went on after all crashes up to a time.
func (s *suspect) clear(now, at time.Duration) {
	if s.cleared && at <= s.clearedAt {
		return
	}
	kept := slices.DeleteFunc(s.crashes, func(c partCrash) bool { return c.at <= at })
	if len(kept) < len(s.crashes) || !s.cleared {
		s.changedAt = now
	}
	s.crashes, s.cleared, s.clearedAt = kept, true, at
	if len(kept) == 0 {
		s.trials = 0
	}
}

// prove records that a response to a run went on, or ended well, at some time, so that no part of its prompt crashes servers.
func (p *Pool) prove(now, at time.Duration, r *Run) {
	shared := r.request.sharedSegments()
	if len(shared) == 0 {
		return
	}
	v := p.service(r.Server.Service)
	v.suspects.proven.record(at, shared)
	changed := false
	for _, part := range shared {
		if s := v.suspects.parts[part.ID]; s != nil && len(s.crashes) > 0 {
			s.clear(now, at)
			changed = true
		}
	}
	if changed {
		p.judge(v)
	}
}

// proveOpenRuns clears the parts of prompts to which responses go on.
func (p *Pool) proveOpenRuns(now time.Duration, v *service) {
	for _, b := range v.servers {
		for r := range b.runs {
			if r.proven() {
				p.prove(now, r.lastEvent(), r)
			}
		}
	}
}
