package admin

import (
	"container/list"
	"maps"
	"slices"
	"sync"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/report"
)

const (
	// storyLimit is how many of the latest requests are remembered; a team with more than its even part of them
	// pushes out its own only, so that a flood does not bury what the others asked for.
	storyLimit = 4096
	// teamLimit is how many teams' refusals are counted.
	teamLimit = 4096
	// stepLimit is how many steps of one request are remembered.
	stepLimit = 24
)

// Stories remembers the steps of the latest requests; the zero value is ready.
type Stories struct {
	mutex   sync.Mutex // guards all below; traffic goroutines note steps as they go
	stories map[string]*story
	order   list.List                   // of *story, oldest first
	teams   map[string]*list.List       // likewise by team
	refused map[string]map[string]int64 // by team and reason
}

type story struct {
	began       time.Duration
	explanation report.Explanation
	place, own  *list.Element // in the order of all and of the team
}

// Note adds a step to a request's story; AtMillis is filled in from now.
func (s *Stories) Note(now time.Duration, request, team, product string, step report.Step) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.stories[request]
	if t == nil {
		t = s.begin(now, request, team)
	}
	if team != "" && team != t.explanation.Team {
		s.leaveTeam(t)
		t.explanation.Team = team
		s.joinTeam(t)
	}
	if product != "" {
		t.explanation.Product = product
	}
	step.AtMillis = (now - t.began).Milliseconds()
	if step.What == "refused" && t.explanation.Team != "" {
		s.countRefusal(t.explanation.Team, step.Reason)
	}
	if len(t.explanation.Steps) < stepLimit {
		t.explanation.Steps = append(t.explanation.Steps, step)
	} else {
		t.explanation.Steps[stepLimit-1] = step
	}
}

func (s *Stories) countRefusal(team string, reason fleet.Reason) {
	if s.refused == nil {
		s.refused = map[string]map[string]int64{}
	}
	if s.refused[team] == nil {
		if len(s.refused) >= teamLimit {
			return
		}
		s.refused[team] = map[string]int64{}
	}
	s.refused[team][reason.String()]++
}

// Refusals gives a team's refusals by reason since the router started.
func (s *Stories) Refusals(team string) map[string]int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := map[string]int64{}
	maps.Copy(counts, s.refused[team])
	return counts
}

func (s *Stories) begin(now time.Duration, request, team string) *story {
	if s.stories == nil {
		s.stories, s.teams = map[string]*story{}, map[string]*list.List{}
	}
	if len(s.stories) >= storyLimit {
		s.forget(s.oldest(team))
	}
	t := &story{began: now, explanation: report.Explanation{Request: request, Team: team}}
	s.stories[request] = t
	t.place = s.order.PushBack(t)
	s.joinTeam(t)
	return t
}

// oldest gives the story that makes room for one of a team.
func (s *Stories) oldest(team string) *story {
	from := &s.order
	if own := s.teams[team]; own != nil && own.Len() > storyLimit/len(s.teams) {
		from = own
	}
	t, _ := from.Front().Value.(*story)
	return t
}

func (s *Stories) forget(t *story) {
	delete(s.stories, t.explanation.Request)
	s.order.Remove(t.place)
	s.leaveTeam(t)
}

func (s *Stories) joinTeam(t *story) {
	own := s.teams[t.explanation.Team]
	if own == nil {
		own = &list.List{}
		s.teams[t.explanation.Team] = own
	}
	t.own = own.PushBack(t)
}

func (s *Stories) leaveTeam(t *story) {
	own := s.teams[t.explanation.Team]
	own.Remove(t.own)
	if own.Len() == 0 {
		delete(s.teams, t.explanation.Team)
	}
}

// Find gives a request's story.
func (s *Stories) Find(request string) (report.Explanation, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.stories[request]
	if t == nil {
		return report.Explanation{}, false
	}
	return copyOf(t), true
}

// Troubled gives a team's latest stories that hold a refusal, retry or failure, newest first, at most limit.
func (s *Stories) Troubled(team string, limit int) []report.Explanation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []report.Explanation
	own := s.teams[team]
	if own == nil {
		return nil
	}
	for e := own.Back(); e != nil && len(found) < limit; e = e.Prev() {
		if t, _ := e.Value.(*story); troubled(t.explanation.Steps) {
			found = append(found, copyOf(t))
		}
	}
	return found
}

func copyOf(t *story) report.Explanation {
	e := t.explanation
	e.Steps = append([]report.Step(nil), e.Steps...)
	return e
}

func troubled(steps []report.Step) bool {
	return slices.ContainsFunc(steps, func(s report.Step) bool { return s.Reason.Failed() })
}
