package sched

import "mangolug.org/core/limit"

// Lowering is a server whose learnt limit was lowered.
type Lowering struct {
	Server string
	Cut    limit.Cut
}

// noteLowering records the latest lowering of a server's limit for TakeLowerings.
func (s *Scheduler) noteLowering(v *server) {
	c := v.limiter.LastCut()
	if c == v.lastCut {
		return
	}
	v.lastCut = c
	if c.Cause != limit.CauseNone {
		s.lowered = append(s.lowered, Lowering{Server: v.rule.Name, Cut: c})
	}
}

// TakeLowerings returns the limits that were lowered since the last call.
func (s *Scheduler) TakeLowerings() []Lowering {
	list := s.lowered
	s.lowered = nil
	return list
}
