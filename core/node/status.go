package node

import (
	"slices"
	"strings"

	"mangolug.org/core/report"
)

// Status returns the router's status as of the last step, without the loads of links.
func (n *Node) Status() *report.Status {
	s := &report.Status{
		Router: n.Start.Self, DataCentre: n.Start.DataCentre, Incarnation: uint64(n.Start.Incarnation),
		Ready: n.ready && !n.draining, Draining: n.draining, Majority: n.members.Majority(n.now),
		UptimeMillis: n.now.Milliseconds(), Peers: n.members.Peers(n.now), Rooms: n.room.Status(n.now),
		DataCentres: []report.DataCentre{}, Cells: []report.Cell{},
	}
	if f := n.keeper.Current(); f != nil {
		s.ConfigVersion, s.ConfigDigest = f.Version, f.Digest
		for _, d := range f.File.DataCentres {
			s.DataCentres = append(s.DataCentres, report.DataCentre{Name: d.Name, InService: d.InService})
		}
	}
	s.RefusedNumber, s.ConfigRefused = n.keeper.Refused()
	for _, id := range n.cellOrder {
		if c := n.cells[id]; c.lenders > 0 {
			s.Cells = append(s.Cells, c.scheduler.Status(n.now))
		}
	}
	return s
}

// ExplainTeam explains the state of a team at this router as of the last step.
func (n *Node) ExplainTeam(team string) *report.TeamExplanation {
	t := &report.TeamExplanation{Team: team, Share: n.share(team), Rooms: []report.Room{}, Cells: []report.Cell{}}
	for _, r := range n.room.Status(n.now) {
		if r.Team == team {
			t.Rooms = append(t.Rooms, r)
		}
	}
	for _, id := range n.cellOrder {
		if n.cells[id].lenders == 0 {
			continue // another router schedules the cell now
		}
		c := n.cells[id].scheduler.Status(n.now)
		c.Teams = slices.DeleteFunc(c.Teams, func(o report.Team) bool { return o.Name != team })
		if len(c.Teams) > 0 {
			t.Cells = append(t.Cells, c)
		}
	}
	slices.SortFunc(t.Rooms, func(a, b report.Room) int { return strings.Compare(a.Product, b.Product) })
	return t
}
