package loop

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/report"
)

// Status asks the loop for the router's status.
func (l *Loop) Status(ctx context.Context) (*report.Status, error) {
	q := statusQuery{reply: make(chan *report.Status, 1)}
	select {
	case l.inbox <- event{status: &q}:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "ask for the status")
	}
	select {
	case s := <-q.reply:
		return s, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for the status")
	}
}

// Team asks the loop how a team fares here.
func (l *Loop) Team(ctx context.Context, team string) (*report.TeamExplanation, error) {
	q := teamQuery{team: team, reply: make(chan *report.TeamExplanation, 1)}
	select {
	case l.inbox <- event{team: &q}:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "ask about the team")
	}
	select {
	case s := <-q.reply:
		return s, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for the team")
	}
}

func (l *Loop) report(now time.Duration) *report.Status {
	s := &report.Status{
		Router: l.Self, DataCentre: l.DataCentre, Incarnation: uint64(l.Incarnation),
		Ready: l.ready.Load() == 0 && !l.drain.Load(), Draining: l.drain.Load(),
		Majority: l.members.Majority(now), UptimeMillis: now.Milliseconds(),
		ControlBytes: l.counter("control.bytesSent").Count(),
		Peers:        l.members.Peers(now),
		Rooms:        l.Room.Status(now),
	}
	if f := l.current.Load(); f != nil {
		s.ConfigVersion, s.ConfigDigest = f.Version, f.Digest
		for _, d := range f.File.DataCentres {
			s.DataCentres = append(s.DataCentres, report.DataCentre{Name: d.Name, InService: d.InService})
		}
	}
	if _, why := l.keeper.Refused(); why != "" {
		s.ConfigRefused = why
	}
	for _, id := range l.cellOrder() {
		if c := l.cells[id]; c.lenders > 0 {
			s.Cells = append(s.Cells, c.scheduler.Status(now))
		}
	}
	return s
}

func (l *Loop) explainTeam(now time.Duration, team string) *report.TeamExplanation {
	t := &report.TeamExplanation{Team: team, Share: l.share(team), Refusals: l.refusals(team)}
	for _, r := range l.Room.Status(now) {
		if r.Team == team {
			t.Rooms = append(t.Rooms, r)
		}
	}
	for _, id := range l.cellOrder() {
		c := l.cells[id].scheduler.Status(now)
		var own []report.Team
		for _, o := range c.Teams {
			if o.Name == team {
				own = append(own, o)
			}
		}
		if len(own) > 0 {
			c.Teams = own
			t.Cells = append(t.Cells, c)
		}
	}
	sort.Slice(t.Rooms, func(i, j int) bool { return t.Rooms[i].Product < t.Rooms[j].Product })
	return t
}

// refusals gives the refusals of a team by reason, from the counters that the callers' interface keeps.
func (l *Loop) refusals(team string) map[string]int64 {
	prefix := "teamRefused." + team + "."
	found := map[string]int64{}
	registry := l.Metrics
	if registry == nil {
		registry = metrics.DefaultRegistry
	}
	registry.Each(func(name string, m interface{}) {
		if reason, ok := strings.CutPrefix(name, prefix); ok {
			if c, isCounter := m.(metrics.Counter); isCounter {
				found[reason] = c.Count()
			}
		}
	})
	return found
}
