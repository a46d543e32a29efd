package fair

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"mangolug.org/mangoctl/story"
)

// Span is a time in which a team wanted more than it got.
type Span struct {
	From    time.Time `json:"from"`
	Team    string    `json:"team"`
	Asked   int64     `json:"askedTokens"` // an estimate, as the logs don't tell the tokens of refused requests
	Got     int64     `json:"gotTokens"`
	Best    string    `json:"best"`
	BestGot int64     `json:"bestGotTokens"`
	Part    float64   `json:"part"` // got, of what the team asked for or the best served team got, whichever is less in each second
}

// second is what one team asked for and got in a second.
type second struct {
	sent    int64 // tokens of requests that were sent to a server for the first time
	got     int64 // tokens of requests that began to run
	refused int64 // requests
}

// request is one that was sent and has not begun.
type request struct {
	team   string
	tokens int64
}

// tally adds up log lines by team and second; its zero value works.
type tally struct {
	teams   map[string]map[int64]*second // by Unix time
	waiting map[string]request
	tokens  map[string]int64 // of all requests of a team that were sent
	sends   map[string]int64
}

func (t *tally) at(team string, unix int64) *second {
	if t.teams == nil {
		t.teams = make(map[string]map[int64]*second)
		t.waiting, t.tokens, t.sends = make(map[string]request), make(map[string]int64), make(map[string]int64)
	}
	if t.teams[team] == nil {
		t.teams[team] = make(map[int64]*second)
	}
	if t.teams[team][unix] == nil {
		t.teams[team][unix] = &second{}
	}
	return t.teams[team][unix]
}

func (t *tally) take(l story.Line) {
	unix, team, id := l.At.Unix(), l.Get("team"), l.Get("request")
	switch l.What {
	case "sent":
		prompt, err := strconv.ParseInt(l.Get("prompt"), 10, 64)
		output, err2 := strconv.ParseInt(l.Get("output"), 10, 64)
		if err != nil || err2 != nil || prompt <= 0 || team == "" {
			return // of a plain service, or of an older router
		}
		r := request{team, prompt + 2*output}
		s := t.at(team, unix)
		t.waiting[id] = r
		if l.Get("send") == "1" {
			s.sent += r.tokens
			t.tokens[team] += r.tokens
			t.sends[team]++
		}
	case "began":
		if r, ok := t.waiting[id]; ok {
			delete(t.waiting, id)
			t.at(r.team, unix).got += r.tokens
		}
	case "refused":
		delete(t.waiting, id)
		switch l.Get("reason") {
		case "teamShare", "wouldMissDeadline", "queueFull":
			t.at(team, unix).refused++
		}
	case "turned away": // counts those that have a line of their own as well
		if n, err := strconv.ParseInt(l.Get("ofThat"), 10, 64); err == nil {
			t.at(l.Get("most"), unix).refused += n
		}
	}
}

// asked gives the tokens that a team asked for in a second.
func (t *tally) asked(team string, unix int64) int64 {
	s := t.teams[team][unix]
	if s == nil {
		return 0
	}
	return s.sent + s.refused*t.tokens[team]/max(1, t.sends[team])
}

func (t *tally) got(team string, from int64, window int) int64 {
	var n int64
	for u := from; u < from+int64(window); u++ {
		if s := t.teams[team][u]; s != nil {
			n += s.got
		}
	}
	return n
}

// spans gives the times of so many seconds in each of which a team was refused requests, the least even first.
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
			if got := t.got(name, from, window); got > bestGot {
				best, bestGot = name, got
			}
		}
		for _, name := range names {
			if s, ok := t.span(name, best, from, window); ok && name != best {
				spans = append(spans, s)
			}
		}
	}
	slices.SortStableFunc(spans, func(a, b Span) int { return cmp.Compare(a.Part, b.Part) })
	return spans
}

func (t *tally) span(team, best string, from int64, window int) (Span, bool) {
	s := Span{From: time.Unix(from, 0), Team: team, Best: best, Got: t.got(team, from, window), BestGot: t.got(best, from, window)}
	var due int64
	for u := from; u < from+int64(window); u++ {
		if own := t.teams[team][u]; own == nil || own.refused == 0 {
			return s, false
		}
		asked := t.asked(team, u)
		s.Asked += asked
		due += min(asked, t.got(best, u, 1))
	}
	if due == 0 {
		return s, false
	}
	s.Part = float64(s.Got) / float64(due)
	return s, true
}
