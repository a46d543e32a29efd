package sched

import (
	"sort"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/report"
)

// Status returns a report on the cell's servers and teams.
func (s *Scheduler) Status(now time.Duration) report.Cell {
	s.prepare()
	s.reviewServers(now)
	c := report.Cell{Cell: s.Cell.String(), Term: s.Term, Lenders: s.activeLenders, Listed: s.routerCount}
	for _, v := range s.configured {
		c.Servers = append(c.Servers, s.serverStatus(now, v))
	}
	least := s.level
	if n := s.backlog.top(); n != nil {
		least = n.team.level
	}
	for _, t := range s.teams {
		c.Teams = append(c.Teams, s.teamStatus(t, least))
	}
	sort.Slice(c.Teams, func(i, j int) bool { return c.Teams[i].Name < c.Teams[j].Name })
	return c
}

func (s *Scheduler) serverStatus(now time.Duration, v *server) report.Server {
	held := v.held
	if held == fleet.ReasonNone && v.freeSlots == 0 {
		held = fleet.ReasonHeld
	}
	lowered := v.limiter.LastCut()
	return report.Server{
		Lowered: lowered.Cause, LoweredMillis: (now - lowered.At).Milliseconds(), LoweredFrom: lowered.From, LoweredTo: lowered.To,
		Name: v.rule.Name, DataCentre: v.rule.DataCentre, Ceiling: v.rule.Limit,
		Learnt: v.limiter.Limit(), Usable: max(0, s.usable(v)),
		Running: v.outstanding + v.orphans, Foreign: max(0, v.foreign-v.orphans), Held: held,
	}
}

func (s *Scheduler) teamStatus(t *team, least float64) report.Team {
	waiting := 0
	for _, r := range s.routerList {
		if e := r.entries[t.name]; e != nil {
			waiting += e.waiting()
		}
	}
	return report.Team{
		Name: t.name, Share: int(t.share), Waiting: waiting, Running: t.running,
		Service: t.service, Level: t.level - least,
	}
}
