package pool

import (
	"fmt"
	"slices"
	"time"
)

const (
	// minEvidence is the evidence that makes a subject count as the cause of crashes: that of two crashes just after the header of a
	// response to it, or of three.
	minEvidence = 6
	// weakEvidence is that of a crash before a response, and strongEvidence that of one just after its header.
	weakEvidence, strongEvidence = 2, 3
)

// judge decides anew which subjects of a service's requests are poisoned.
func (p *Pool) judge(v *service) {
	for _, s := range v.suspects.known {
		s.evidence = evidence(s.crashes)
	}
	for _, s := range v.suspects.known {
		s.alternatives = nil
		was := s.poisoned
		if s.poisoned = s.evidence >= minEvidence; s.poisoned {
			s.alternatives = v.suspects.alternatives(s)
		}
		if s.poisoned != was {
			p.emitSubject(v, s)
		}
	}
}

// alternatives returns the subjects that may have caused so many of a subject's crashes that it need not be the cause.
func (u *suspects) alternatives(s *suspect) []subject {
	var list []subject
	for _, o := range u.known {
		if o != s && o.excuses(s) {
			list = append(list, o.subject)
		}
	}
	return list
}

// excuses reports whether another subject need not be the cause of its crashes, as this one explains them. The refusal of a part reaches many
// requests, that of a request only itself: a part is excused by as much evidence, and a request only by more that explains every crash, since
// two requests that always come together would excuse each other for good.
func (s *suspect) excuses(o *suspect) bool {
	unexplained := evidence(s.unexplained(o.crashes))
	if o.kind == SubjectRequest {
		return s.evidence > o.evidence && unexplained == 0
	}
	return s.evidence >= o.evidence && unexplained < minEvidence
}

// refuses reports whether a subject is poisoned, and a request with some subjects must not reach a server for it.
func (u *suspects) refuses(of subject, subjects []subject) bool {
	s := u.known[of]
	return s != nil && s.poisoned && containsAll(subjects, s.alternatives)
}

// unexplained returns those of some crashes that the subject did not cause. If it has had more crashes than are kept, it explains all later ones.
func (s *suspect) unexplained(crashes []subjectCrash) []subjectCrash {
	var rest []subjectCrash
	for _, c := range crashes {
		kept := slices.ContainsFunc(s.crashes, func(own subjectCrash) bool { return own.server == c.server })
		if !kept && (len(s.crashes) < maxSubjectCrashes || c.at < s.crashes[maxSubjectCrashes-1].at) {
			rest = append(rest, c)
		}
	}
	return rest
}

// evidence returns the sum over crashes, given in order; of those that count as one it takes the strongest.
func evidence(crashes []subjectCrash) int {
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

func (p *Pool) emitSubject(v *service, s *suspect) {
	if p.OnEvent == nil {
		return
	}
	e := Event{Service: v.name, Subject: s.name(), SubjectKind: s.kind, Kind: "cleared", Detail: "servers answer requests with it"}
	if s.poisoned {
		e.Kind, e.Detail = "poisoned", fmt.Sprintf("%d servers ended under requests with it, and none has answered one since", len(s.crashes))
	}
	p.OnEvent(e)
}

// poisonedBy returns the subject for which a request must not reach a server, or nil. A request that may try a subject again is recorded as
// its trial.
func (p *Pool) poisonedBy(now time.Duration, v *service, a *Request) *suspect {
	a.trials = nil
	if len(v.suspects.known) == 0 {
		return nil
	}
	subjects := a.subjects()
	for _, of := range subjects {
		if !v.suspects.refuses(of, subjects) {
			continue
		}
		s := v.suspects.known[of]
		if !p.mayTry(now, s) {
			a.trials = nil
			return s
		}
		a.trials = append(a.trials, s)
	}
	return nil
}
