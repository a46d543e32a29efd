package pool

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

const (
	// minEvidence is the evidence that makes a prompt part count as the cause of crashes: that of two crashes just after the header of a
	// response to it, or of three.
	minEvidence = 6
	// weakEvidence is that of a crash before a response to a prompt with the part, and strongEvidence that of one just after its header.
	weakEvidence, strongEvidence = 2, 3
)

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
