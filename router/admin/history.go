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
	// maxRequests is the number of latest requests that are remembered. When it is reached, a team with more than an equal
	// share of them evicts only its own, so that a flood from one team does not evict the requests of the others.
	maxRequests = 4096
	// maxTeams is the number of teams whose refusals are counted.
	maxTeams = 4096
	// maxSteps is the number of steps remembered of one request; any further step replaces the last one.
	maxSteps = 24
)

// RequestHistory remembers the steps of the latest requests. The zero value is ready to use, by concurrent goroutines.
type RequestHistory struct {
	mutex    sync.Mutex // guards the fields below
	requests map[string]*requestRecord
	order    list.List                   // of *requestRecord, oldest first
	teams    map[string]*list.List       // the same for each team
	refused  map[string]map[string]int64 // by team and reason
}

type requestRecord struct {
	began                time.Duration
	explanation          report.Explanation
	element, teamElement *list.Element // in RequestHistory.order and in the team's list
}

// Record adds a step to a request and sets the step's AtMillis to the time since the request's first step.
func (s *RequestHistory) Record(now time.Duration, request, team, product string, step report.Step) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.requests[request]
	if t == nil {
		t = s.add(now, request, team)
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
	if len(t.explanation.Steps) < maxSteps {
		t.explanation.Steps = append(t.explanation.Steps, step)
	} else {
		t.explanation.Steps[maxSteps-1] = step
	}
}

func (s *RequestHistory) countRefusal(team string, reason fleet.Reason) {
	if s.refused == nil {
		s.refused = map[string]map[string]int64{}
	}
	if s.refused[team] == nil {
		if len(s.refused) >= maxTeams {
			return
		}
		s.refused[team] = map[string]int64{}
	}
	s.refused[team][reason.String()]++
}

// Refusals returns the number of a team's refusals since the router started, by reason.
func (s *RequestHistory) Refusals(team string) map[string]int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := map[string]int64{}
	maps.Copy(counts, s.refused[team])
	return counts
}

func (s *RequestHistory) add(now time.Duration, request, team string) *requestRecord {
	if s.requests == nil {
		s.requests, s.teams = map[string]*requestRecord{}, map[string]*list.List{}
	}
	if len(s.requests) >= maxRequests {
		s.remove(s.evictionCandidate(team))
	}
	t := &requestRecord{began: now, explanation: report.Explanation{Request: request, Team: team}}
	s.requests[request] = t
	t.element = s.order.PushBack(t)
	s.joinTeam(t)
	return t
}

// evictionCandidate returns the request to evict for a new one of a team.
func (s *RequestHistory) evictionCandidate(team string) *requestRecord {
	from := &s.order
	if own := s.teams[team]; own != nil && own.Len() > maxRequests/len(s.teams) {
		from = own
	}
	t, _ := from.Front().Value.(*requestRecord)
	return t
}

func (s *RequestHistory) remove(t *requestRecord) {
	delete(s.requests, t.explanation.Request)
	s.order.Remove(t.element)
	s.leaveTeam(t)
}

func (s *RequestHistory) joinTeam(t *requestRecord) {
	own := s.teams[t.explanation.Team]
	if own == nil {
		own = &list.List{}
		s.teams[t.explanation.Team] = own
	}
	t.teamElement = own.PushBack(t)
}

func (s *RequestHistory) leaveTeam(t *requestRecord) {
	own := s.teams[t.explanation.Team]
	own.Remove(t.teamElement)
	if own.Len() == 0 {
		delete(s.teams, t.explanation.Team)
	}
}

// Find returns the explanation of a request and whether the request is known.
func (s *RequestHistory) Find(request string) (report.Explanation, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.requests[request]
	if t == nil {
		return report.Explanation{}, false
	}
	return copyExplanation(t), true
}

// Failures returns a team's latest requests with a refusal, retry or failure, newest first, at most limit.
func (s *RequestHistory) Failures(team string, limit int) []report.Explanation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []report.Explanation
	own := s.teams[team]
	if own == nil {
		return nil
	}
	for e := own.Back(); e != nil && len(found) < limit; e = e.Prev() {
		if t, _ := e.Value.(*requestRecord); hasFailure(t.explanation.Steps) {
			found = append(found, copyExplanation(t))
		}
	}
	return found
}

func copyExplanation(t *requestRecord) report.Explanation {
	e := t.explanation
	e.Steps = append([]report.Step(nil), e.Steps...)
	return e
}

func hasFailure(steps []report.Step) bool {
	return slices.ContainsFunc(steps, func(s report.Step) bool { return s.Reason.Failed() })
}
