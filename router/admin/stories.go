package admin

import (
	"maps"
	"sync"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/report"
)

const (
	// storyLimit is how many of the latest requests are remembered.
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
	order   [storyLimit]string
	next    int
	refused map[string]map[string]int64 // by team and reason
}

type story struct {
	began       time.Duration
	explanation report.Explanation
}

// Note adds a step to a request's story; AtMillis is filled in from now.
func (s *Stories) Note(now time.Duration, request, team, product string, step report.Step) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.stories[request]
	if t == nil {
		t = s.begin(now, request)
	}
	if team != "" {
		t.explanation.Team = team
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

func (s *Stories) begin(now time.Duration, request string) *story {
	if s.stories == nil {
		s.stories = map[string]*story{}
	}
	delete(s.stories, s.order[s.next])
	s.order[s.next] = request
	s.next = (s.next + 1) % storyLimit
	t := &story{began: now, explanation: report.Explanation{Request: request}}
	s.stories[request] = t
	return t
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
	for i := 1; i <= storyLimit && len(found) < limit; i++ {
		t := s.stories[s.order[(s.next-i+storyLimit)%storyLimit]]
		if t != nil && t.explanation.Team == team && troubled(t.explanation.Steps) {
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
	for _, s := range steps {
		switch s.Reason {
		case fleet.ReasonNone, fleet.ReasonGranted, fleet.ReasonHeld:
		default:
			return true
		}
	}
	return false
}
