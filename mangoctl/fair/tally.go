package fair

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"mangolug.org/mangoctl/story"
)

// Span is a period in which a team's demand exceeded the throughput it received.
type Span struct {
	From       time.Time `json:"from"`
	Team       string    `json:"team"`
	Demand     int64     `json:"askedTokens"` // an estimate, as the logs do not give the tokens of refused requests
	Served     int64     `json:"gotTokens"`
	Best       string    `json:"best"`
	BestServed int64     `json:"bestGotTokens"`
	Ratio      float64   `json:"part"` // Served, divided by the sum over all seconds of the lesser of the team's demand and the best served team's throughput
}

// second holds the demand and throughput of one team in one second.
type second struct {
	sent    int64 // tokens of requests that were sent to a server for the first time
	started int64 // tokens of requests that began to run
	refused int64 // number of refused requests
}

// request is a request that was sent and has not begun to run.
type request struct {
	team   string
	tokens int64
}

// tally aggregates log lines by team and second. Its zero value is ready to use.
type tally struct {
	teams    map[string]map[int64]*second // by Unix time
	pending  map[string]request
	tokens   map[string]int64 // of all requests of a team that were sent; retries not counted
	requests map[string]int64
}

func (t *tally) second(team string, unix int64) *second {
	if t.teams == nil {
		t.teams = make(map[string]map[int64]*second)
		t.pending, t.tokens, t.requests = make(map[string]request), make(map[string]int64), make(map[string]int64)
	}
	if t.teams[team] == nil {
		t.teams[team] = make(map[int64]*second)
	}
	if t.teams[team][unix] == nil {
		t.teams[team][unix] = &second{}
	}
	return t.teams[team][unix]
}

func (t *tally) add(l story.Line) {
	unix, team, id := l.Time.Unix(), l.Get("team"), l.Get("request")
	switch l.Message {
	case "sent":
		prompt, err := strconv.ParseInt(l.Get("prompt"), 10, 64)
		output, err2 := strconv.ParseInt(l.Get("output"), 10, 64)
		if err != nil || err2 != nil || prompt <= 0 || team == "" {
			return // a plain service, or a router of an older version
		}
		r := request{team, prompt + 2*output}
		s := t.second(team, unix)
		t.pending[id] = r
		if l.Get("send") == "1" {
			s.sent += r.tokens
			t.tokens[team] += r.tokens
			t.requests[team]++
		}
	case "began":
		if r, ok := t.pending[id]; ok {
			delete(t.pending, id)
			t.second(r.team, unix).started += r.tokens
		}
	case "refused":
		delete(t.pending, id)
		switch l.Get("reason") {
		case "teamShare", "wouldMissDeadline", "queueFull":
			t.second(team, unix).refused++
		}
	case "turned away", // includes requests that also have a line of their own, which is not counted
		"over share": // without those that have one
		if n, err := strconv.ParseInt(l.Get("ofThat"), 10, 64); err == nil {
			t.second(l.Get("most"), unix).refused += n
		}
	}
}

// demand estimates the tokens that a team requested in a second. Each refused request counts as the team's mean request.
func (t *tally) demand(team string, unix int64) int64 {
	s := t.teams[team][unix]
	if s == nil {
		return 0
	}
	return s.sent + s.refused*t.tokens[team]/max(1, t.requests[team])
}

func (t *tally) served(team string, from int64, window int) int64 {
	var n int64
	for u := from; u < from+int64(window); u++ {
		if s := t.teams[team][u]; s != nil {
			n += s.started
		}
	}
	return n
}

// spans returns the periods of window seconds in each second of which a team was refused requests, least even first.
func (t *tally) spans(window int) []Span {
	starts := map[int64]bool{}
	for _, seconds := range t.teams {
		for u := range seconds {
			starts[u] = true
		}
	}
	names := slices.Sorted(maps.Keys(t.teams))
	var spans []Span
	for _, from := range slices.Sorted(maps.Keys(starts)) {
		best, bestGot := "", int64(0)
		for _, name := range names {
			if got := t.served(name, from, window); got > bestGot {
				best, bestGot = name, got
			}
		}
		for _, name := range names {
			if s, ok := t.span(name, best, from, window); ok && name != best {
				spans = append(spans, s)
			}
		}
	}
	slices.SortStableFunc(spans, func(a, b Span) int { return cmp.Compare(a.Ratio, b.Ratio) })
	return spans
}

func (t *tally) span(team, best string, from int64, window int) (Span, bool) {
	s := Span{From: time.Unix(from, 0), Team: team, Best: best, Served: t.served(team, from, window), BestServed: t.served(best, from, window)}
	var entitled int64
	for u := from; u < from+int64(window); u++ {
		if own := t.teams[team][u]; own == nil || own.refused == 0 {
			return s, false
		}
		demand := t.demand(team, u)
		s.Demand += demand
		entitled += min(demand, t.served(best, u, 1))
	}
	if entitled == 0 {
		return s, false
	}
	s.Ratio = float64(s.Served) / float64(entitled)
	return s, true
}
