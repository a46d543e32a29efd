package sched

import "mangolug.org/core/limit"

// Lowering is a server whose learnt limit was lowered.
type Lowering struct {
	Server string
	Cut    limit.Cut
}

// noteCut remembers the latest lowering of a server's limit until it is asked for.
func (s *Scheduler) noteCut(v *server) {
	c := v.limiter.Cut()
	if c == v.lastCut {
		return
	}
	v.lastCut = c
	if c.Cause != limit.CauseNone {
		s.lowered = append(s.lowered, Lowering{Server: v.rule.Name, Cut: c})
	}
}

// Lowered gives the limits that were lowered since it was last called.
func (s *Scheduler) Lowered() []Lowering {
	list := s.lowered
	s.lowered = nil
	return list
}
