package world

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mangolug.org/core/pool"
)

// Kind describes one kind of request and its traffic.
type Kind struct {
	Name          string
	Rate          float64 // requests per second
	OwnTokens     float64 // mean number of prompt tokens that no other request shares
	Sigma         float64 // standard deviation of the logarithm of OwnTokens
	MaxOwnTokens  float64
	BaseTokens    int64 // prompt tokens shared by all requests with the same base
	Bases         int
	SubjectTokens int64 // prompt tokens shared by requests on the same subject
	Subjects      int
	Events        float64 // mean number of events per answer
	Objective     time.Duration
	Deadline      time.Duration
	Worth         float64
}

// Kinds returns the request kinds of the users' workload sheets.
func Kinds() []Kind {
	return []Kind{
		{Name: "match", Rate: 46, OwnTokens: 2890, Sigma: 1, MaxOwnTokens: 39600, BaseTokens: 2520, Bases: 4, SubjectTokens: 3780, Subjects: 162, Events: 13, Objective: 600 * time.Millisecond, Deadline: 5 * time.Second, Worth: 4.4},
		{Name: "question", Rate: 53, OwnTokens: 1800, Sigma: 1.3, MaxOwnTokens: 6870, BaseTokens: 341, Bases: 40, SubjectTokens: 227, Subjects: 83, Events: 6, Objective: 1200 * time.Millisecond, Deadline: 3 * time.Second, Worth: 1.1},
		{Name: "note", Rate: 35, OwnTokens: 543, Sigma: 0.9, MaxOwnTokens: 2310, BaseTokens: 103, Bases: 8, SubjectTokens: 69, Subjects: 54, Events: 70, Objective: 1500 * time.Millisecond, Deadline: 15 * time.Second, Worth: 0.56},
	}
}

// Pattern describes the offered load of a simulation.
type Pattern struct {
	RateFactor         func(at time.Duration, kind string) float64 // multiplies the rate of a kind; nil means 1
	Skew               float64                                     // fraction of all requests sent to router 0 in addition to its even share
	HotTeamShare       float64                                     // fraction of all requests that come from one team
	HotTeamOnOneRouter bool                                        // all requests of the hot team arrive at one router
	HotSubjectShare    float64                                     // fraction of the first kind's requests that are on one subject
	FailAt             map[int]time.Duration                       // failure time by server index
	Teams              int
	Duration           time.Duration
	ReportPeriod       time.Duration                          // interval between load reports of routers; 0 means that of a small fleet
	Speeds             []float64                              // speeds of the servers in turn, relative to the engine's; nil means that all are equal
	Slowdowns          bool                                   // servers are slow for moments; see slowTime
	NoShares           bool                                   // the throughput that teams share is not configured, so that nobody is held to a share
	StaleNews          bool                                   // reports reach each router at moments of its own; see deliverStale
	Disturb            func(at time.Duration, d *Disturbance) // called in each tick; nil for nothing
}

// ScaleKinds returns a copy of kinds with the rate and the number of subjects multiplied by factor.
func ScaleKinds(kinds []Kind, factor float64) []Kind {
	scaled := slices.Clone(kinds)
	for i := range scaled {
		scaled[i].Rate *= factor
		scaled[i].Subjects = int(float64(scaled[i].Subjects) * factor)
	}
	return scaled
}

// Request is one simulated request and its progress.
type Request struct {
	pool.Request
	Kind   int
	Output int64
	Router int

	firstEvent time.Duration // time of the first event
	lastEvent  time.Duration // time of the latest event
	maxGap     time.Duration // longest time between two events
	ended      time.Duration
	rejected   bool
	finished   bool
	sent       time.Duration // when it was sent to the server that answers it
	overloaded bool          // it was sent to an overloaded server while another was idle
}

// earnedWorth returns the part of the kind's worth that the request earned.
func (r *Request) earnedWorth(k *Kind) float64 {
	switch {
	case !r.finished:
		return 0
	case r.firstEvent-r.Arrived <= k.Objective && r.maxGap <= maxEventGap:
		return k.Worth
	}
	return lateWorthFraction * k.Worth
}

const (
	// maxEventGap and lateWorthFraction come from the users' workload sheets.
	maxEventGap       = 500 * time.Millisecond
	lateWorthFraction = 0.3
)

// generateRequests returns the requests of a pattern in order of arrival.
func generateRequests(p *Pattern, kinds []Kind, routers int, seed uint64) []*Request {
	rng := rand.New(rand.NewPCG(seed, 7))
	var list []*Request
	const interval = 5 * time.Millisecond
	for at := time.Duration(0); at < p.Duration; at += interval {
		for i := range kinds {
			k := &kinds[i]
			rate := k.Rate * interval.Seconds()
			if p.RateFactor != nil {
				rate *= p.RateFactor(at, k.Name)
			}
			for n := poisson(rng, rate); n > 0; n-- {
				list = append(list, generateRequest(rng, p, k, i, at, routers, len(list)))
			}
		}
	}
	return list
}

func generateRequest(rng *rand.Rand, p *Pattern, k *Kind, kind int, at time.Duration, routers, n int) *Request {
	own := int64(min(k.MaxOwnTokens, k.OwnTokens*math.Exp(k.Sigma*rng.NormFloat64()-k.Sigma*k.Sigma/2))) + 1
	subject := uint64(rng.IntN(k.Subjects))
	if kind == 0 && rng.Float64() < p.HotSubjectShare {
		subject = 0
	}
	team := fmt.Sprintf("team%d", rng.IntN(max(1, p.Teams)))
	if rng.Float64() < p.HotTeamShare {
		team = "hot"
	}
	router := rng.IntN(routers)
	if rng.Float64() < p.Skew || team == "hot" && p.HotTeamOnOneRouter {
		router = 0
	}
	r := &Request{
		Kind: kind, Router: router,
		Output: 1 + int64(rng.ExpFloat64()*(k.Events-1)*4),
	}
	base := uint64(kind)<<40 | (subject%uint64(k.Bases))<<20 | 1
	r.Request = pool.Request{
		ID: fmt.Sprint(n), Service: serviceName, Team: team, PromptTokens: k.BaseTokens + k.SubjectTokens + own, OutputTokens: r.Output,
		Segments: []pool.Segment{{ID: base, Tokens: k.BaseTokens}, {ID: base | subject<<50 | 2, Tokens: k.SubjectTokens}, {ID: 1<<63 | uint64(n), Tokens: own}},
		Arrived:  at, Objective: at + k.Objective, Deadline: at + k.Deadline,
	}
	return r
}

func poisson(rng *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), rng.Float64(), 0
	for product > limit {
		product *= rng.Float64()
		n++
	}
	return n
}
