package pool

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/route"
)

const (
	// minEvidence is the evidence that makes a prompt part count as the cause of crashes: that of two crashes just after the header of a
	// response to it, or of three.
	minEvidence = 6
	// weakEvidence is that of a crash before a response to a prompt with the part, and strongEvidence that of one just after its header.
	weakEvidence, strongEvidence = 2, 3
	// minCrashGap is the time between two crashes that count as two: servers that end at the same moment have another cause in common.
	minCrashGap = 100 * time.Millisecond
	// provenWindow is how long a response to a prompt part shows that it does not crash servers.
	provenWindow = 2 * time.Second
	// trialDelay is the time from the latest crash under a poisoned part to the first request that tries it again; each further trial doubles
	// it, up to maxTrialDelay.
	trialDelay, maxTrialDelay = 15 * time.Second, 10 * time.Minute
	// trialSlot is the time in which one router may start a trial; in each further slot twice as many may, in case they get no such request.
	trialSlot = 5 * time.Second
	// suspectTTL is how long a part is remembered without news of it.
	suspectTTL = 10 * time.Minute
	// maxSuspects bounds the parts that are remembered for one service, and maxPartCrashes the crashes of each.
	maxSuspects, maxPartCrashes = 512, 16
	// maxSuspectsSent bounds the parts in one message to other routers.
	maxSuspectsSent = 32
	// resendTime is how long news for other routers is repeated in messages, which may be lost; a part that may be poisoned is repeated each
	// suspectRefresh besides.
	resendTime, suspectRefresh = 400 * time.Millisecond, time.Second
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

// judge decides anew which parts of a service's prompts are poisoned.
func (p *Pool) judge(v *service) {
	for _, s := range v.suspects.parts {
		s.evidence = evidence(s.crashes)
	}
	for _, s := range v.suspects.parts {
		s.alternatives = nil
		was := s.poisoned
		if s.poisoned = s.evidence >= minEvidence; s.poisoned {
			s.alternatives = v.suspects.alternatives(s)
		}
		if s.poisoned != was {
			p.emitPart(v, s)
		}
	}
}

// alternatives returns the parts that may have caused so many of a part's crashes that it need not be the cause: those with as much evidence.
func (u *suspects) alternatives(s *suspect) []uint64 {
	var parts []uint64
	for _, o := range u.parts {
		if o != s && o.evidence >= s.evidence && evidence(o.unexplained(s.crashes)) < minEvidence {
			parts = append(parts, o.part)
		}
	}
	return parts
}

// unexplained returns those of some crashes that the part did not cause. If it has had more crashes than are kept, it explains all later ones.
func (s *suspect) unexplained(crashes []partCrash) []partCrash {
	var rest []partCrash
	for _, c := range crashes {
		kept := slices.ContainsFunc(s.crashes, func(own partCrash) bool { return own.server == c.server })
		if !kept && (len(s.crashes) < maxPartCrashes || c.at < s.crashes[maxPartCrashes-1].at) {
			rest = append(rest, c)
		}
	}
	return rest
}

// evidence returns the sum over crashes, given in order; of those that count as one it takes the strongest.
func evidence(crashes []partCrash) int {
	sum, newest := 0, 0
	var last time.Duration
	for i, c := range crashes {
		if i == 0 || c.at-last >= minCrashGap {
			sum, newest, last = sum+newest, 0, c.at
		}
		newest = max(newest, weakEvidence)
		if c.answered {
			newest = strongEvidence
		}
	}
	return sum + newest
}

func (p *Pool) emitPart(v *service, s *suspect) {
	if p.OnEvent == nil {
		return
	}
	e := Event{Service: v.name, Part: strconv.FormatUint(s.part, 16), Kind: "cleared", Detail: "servers answer prompts with it"}
	if s.poisoned {
		e.Kind, e.Detail = "poisoned", fmt.Sprintf("%d servers ended under requests with it, and none has answered one since", len(s.crashes))
	}
	p.OnEvent(e)
}

// poisonedBy returns the part for which a request must not reach a server, or nil. A request that may try a part again is recorded as its trial.
func (p *Pool) poisonedBy(now time.Duration, v *service, a *Request) *suspect {
	a.trial = nil
	if len(v.suspects.parts) == 0 {
		return nil
	}
	shared := a.sharedSegments()
	for _, part := range shared {
		s := v.suspects.parts[part.ID]
		if s == nil || !s.poisoned || !containsAll(shared, s.alternatives) {
			continue
		}
		if !p.mayTry(now, s) {
			a.trial = nil
			return s
		}
		a.trial = s
	}
	return nil
}

func containsAll(segments []Segment, parts []uint64) bool {
	for _, part := range parts {
		if !slices.ContainsFunc(segments, func(s Segment) bool { return s.ID == part }) {
			return false
		}
	}
	return true
}

// trialDue returns the time from which a poisoned part may be tried again.
func (s *suspect) trialDue() time.Duration {
	latest := s.crashes[len(s.crashes)-1].at
	if s.trials > 0 {
		latest = max(latest, s.triedAt)
	}
	return latest + min(maxTrialDelay, trialDelay<<min(s.trials, 8))
}

// mayTry reports whether this router may try a poisoned part now. Rendezvous hashing selects the same router in each router's view, so that
// few of them do at once.
func (p *Pool) mayTry(now time.Duration, s *suspect) bool {
	waited := now - s.trialDue()
	if waited < 0 || !p.Joined {
		return false
	}
	allowed := 1 << min(int(waited/trialSlot), 16)
	return p.routersAhead(s.part) < allowed
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

// startTrial records that a request tries a poisoned part.
func (s *suspect) startTrial(now time.Duration) {
	s.trials++
	s.triedAt, s.changedAt = now, now
}

// Suspects returns what the other routers should know of prompt parts that may crash servers. It is called once per period.
func (p *Pool) Suspects(now time.Duration) []digest.Suspect {
	var list []digest.Suspect
	for _, v := range p.services {
		if len(v.suspects.parts) > 0 {
			p.proveOpenRuns(now, v)
			v.suspects.forget(now)
			list = append(list, v.suspects.news(now, nameID(v.name))...)
		}
	}
	slices.SortFunc(list, func(a, b digest.Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Part, b.Part))
	})
	return list[:min(len(list), maxSuspectsSent)]
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

// forget removes parts that are not poisoned and of which there was no news for long.
func (u *suspects) forget(now time.Duration) {
	for part, s := range u.parts {
		if now-s.changedAt > suspectTTL && !s.poisoned {
			delete(u.parts, part)
		}
	}
}

// news returns the parts that changed lately and, each suspectRefresh, those that are or may become poisoned.
func (u *suspects) news(now time.Duration, service uint32) []digest.Suspect {
	refresh := now-u.refreshedAt >= suspectRefresh
	if refresh {
		u.refreshedAt = now
	}
	var list []digest.Suspect
	for _, s := range u.parts {
		if now-s.changedAt > resendTime && !(refresh && len(s.crashes) > 1) {
			continue
		}
		d := digest.Suspect{Service: service, Part: s.part, Cleared: s.cleared, ClearedAge: now - s.clearedAt, Trials: int64(s.trials), TriedAge: now - s.triedAt}
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
	changed := false
	if s := u.parts[d.Part]; d.Cleared && s != nil && (!s.cleared || now-d.ClearedAge > s.clearedAt) {
		before := len(s.crashes)
		s.clear(now, now-d.ClearedAge)
		changed = len(s.crashes) < before
	}
	for _, c := range d.Crashes {
		if !d.Cleared || c.Age < d.ClearedAge {
			changed = u.addCrash(now, d.Part, partCrash{c.Server, now - c.Age, c.Answered}) || changed
		}
	}
	if s := u.parts[d.Part]; s != nil && d.Trials > int64(s.trials) && len(s.crashes) > 0 {
		s.trials, s.triedAt, s.changedAt = int(min(d.Trials, math.MaxInt32)), now-d.TriedAge, now
	}
	return changed
}
