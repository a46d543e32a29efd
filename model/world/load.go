package world

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mangolug.org/core/pool"
)

// Kind is a kind of request.
type Kind struct {
	Name      string
	Rate      float64 // a second
	Prompt    float64 // mean tokens of a request's own
	Spread    float64 // of the logarithm of these
	Largest   float64
	Base      int64 // tokens that all requests of a few bases share
	Bases     int
	Subject   int64 // tokens that requests on a subject share
	Subjects  int
	Events    float64 // mean events of an answer
	Objective time.Duration
	Deadline  time.Duration
	Worth     float64
}

// Kinds are like those of the users' sheets.
func Kinds() []Kind {
	return []Kind{
		{Name: "match", Rate: 46, Prompt: 2890, Spread: 1, Largest: 39600, Base: 2520, Bases: 4, Subject: 3780, Subjects: 162, Events: 13, Objective: 600 * time.Millisecond, Deadline: 5 * time.Second, Worth: 4.4},
		{Name: "question", Rate: 53, Prompt: 1800, Spread: 1.3, Largest: 6870, Base: 341, Bases: 40, Subject: 227, Subjects: 83, Events: 6, Objective: 1200 * time.Millisecond, Deadline: 3 * time.Second, Worth: 1.1},
		{Name: "note", Rate: 35, Prompt: 543, Spread: 0.9, Largest: 2310, Base: 103, Bases: 8, Subject: 69, Subjects: 54, Events: 70, Objective: 1500 * time.Millisecond, Deadline: 15 * time.Second, Worth: 0.56},
	}
}

// Pattern is a load on the world.
type Pattern struct {
	Factor    func(at time.Duration, kind string) float64 // of a kind's usual rate; nil for 1
	Skew      float64                                     // the part of all requests that one router gets beyond its even part
	HotTeam   float64                                     // the part of all requests that come from one team
	HotRouter bool                                        // all callers of the hot team enter at one router
	HotKey    float64                                     // the part of the first kind's requests that are on one subject
	Lose      map[int]time.Duration                       // servers that are lost, and when
	Teams     int
	Duration  time.Duration
	Period    time.Duration // in which routers hear of each other's load; 0 for that of a small fleet
}

// Scaled gives kinds with so many times the requests and subjects.
func Scaled(kinds []Kind, x float64) []Kind {
	scaled := slices.Clone(kinds)
	for i := range scaled {
		scaled[i].Rate *= x
		scaled[i].Subjects = int(float64(scaled[i].Subjects) * x)
	}
	return scaled
}

// Request is one request of a caller.
type Request struct {
	pool.Request
	Kind   int
	Output int64
	Router int

	began    time.Duration // of the first event
	last     time.Duration // of the newest event
	pause    time.Duration // longest between two events
	ended    time.Duration
	refused  bool
	finished bool
}

// worth gives what of the request's worth was earned.
func (r *Request) worth(k *Kind) float64 {
	switch {
	case !r.finished:
		return 0
	case r.began-r.Arrived <= k.Objective && r.pause <= pauseLimit:
		return k.Worth
	}
	return lateShare * k.Worth
}

const (
	// pauseLimit and lateShare are those of the users' sheets.
	pauseLimit = 500 * time.Millisecond
	lateShare  = 0.3
)

// draw gives the requests of a pattern in the order of their arrival.
func draw(p *Pattern, kinds []Kind, routers int, seed uint64) []*Request {
	random := rand.New(rand.NewPCG(seed, 7))
	var list []*Request
	const slice = 5 * time.Millisecond
	for at := time.Duration(0); at < p.Duration; at += slice {
		for i := range kinds {
			k := &kinds[i]
			rate := k.Rate * slice.Seconds()
			if p.Factor != nil {
				rate *= p.Factor(at, k.Name)
			}
			for n := poisson(random, rate); n > 0; n-- {
				list = append(list, drawOne(random, p, k, i, at, routers, len(list)))
			}
		}
	}
	return list
}

func drawOne(random *rand.Rand, p *Pattern, k *Kind, kind int, at time.Duration, routers, n int) *Request {
	own := int64(min(k.Largest, k.Prompt*math.Exp(k.Spread*random.NormFloat64()-k.Spread*k.Spread/2))) + 1
	subject := uint64(random.IntN(k.Subjects))
	if kind == 0 && random.Float64() < p.HotKey {
		subject = 0
	}
	team := fmt.Sprintf("team%d", random.IntN(max(1, p.Teams)))
	if random.Float64() < p.HotTeam {
		team = "hot"
	}
	router := random.IntN(routers)
	if random.Float64() < p.Skew || team == "hot" && p.HotRouter {
		router = 0
	}
	r := &Request{
		Kind: kind, Router: router,
		Output: 1 + int64(random.ExpFloat64()*(k.Events-1)*4),
	}
	base := uint64(kind)<<40 | (subject%uint64(k.Bases))<<20 | 1
	r.Request = pool.Request{
		ID: fmt.Sprint(n), Service: serviceName, Team: team, PromptTokens: k.Base + k.Subject + own, OutputTokens: r.Output,
		Segments: []pool.Segment{{ID: base, Tokens: k.Base}, {ID: base | subject<<50 | 2, Tokens: k.Subject}, {ID: 1<<63 | uint64(n), Tokens: own}},
		Arrived:  at, Objective: at + k.Objective, Deadline: at + k.Deadline,
	}
	return r
}

func poisson(random *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), random.Float64(), 0
	for product > limit {
		product *= random.Float64()
		n++
	}
	return n
}
