package tally

import (
	"math"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a run saw.
type Result struct {
	Plan           string           `json:"plan"`
	Seed           uint64           `json:"seed"`
	DurationMillis int64            `json:"durationMillis"`
	Requests       int64            `json:"requests"`
	Answered       int64            `json:"answered"`
	NotWhole       int64            `json:"notWhole"`
	Reasons        map[string]int64 `json:"reasons"` // by outcome and reason
	Products       []Product        `json:"products"`
	Teams          []Team           `json:"teams"`
}

// Product is one product's share of a result.
type Product struct {
	Product     string  `json:"product"`
	Service     int64   `json:"service"` // cost units
	Gap         Gap     `json:"gap"`
	Utilisation float64 `json:"utilisation"` // busy slots over slots while work waits; 0 if none waited
	Samples     int     `json:"samples"`     // that Utilisation is over
	PeakRunning int     `json:"peakRunning"` // most seen at one server, over its limit when above 100 %
	OverLimit   int     `json:"overLimit"`   // samples of a server above its limit
}

// Team is one load's share of a result.
type Team struct {
	Team      string           `json:"team"`
	Product   string           `json:"product"`
	Share     int              `json:"share"`
	Requests  int64            `json:"requests"`
	Ends      map[string]int64 `json:"ends"` // by outcome
	Reasons   map[string]int64 `json:"reasons"`
	Service   int64            `json:"service"` // cost units
	Steady    int64            `json:"steady"`  // cost units between warm-up and end of the load
	Total     Spread           `json:"total"`
	FirstByte Spread           `json:"firstByte"`
	Between   Spread           `json:"between"`
}

// Spread is a distribution of times, in microseconds.
type Spread struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// Busy counts samples of one product's servers.
type Busy struct {
	Running, Slots int64 // summed over samples while work waits
	Samples        int
	Peak           int // of one server
	OverLimit      int
}

// Utilisation gives busy slots over slots.
func (b *Busy) Utilisation() float64 {
	if b.Slots == 0 {
		return 0
	}
	return float64(b.Running) / float64(b.Slots)
}

// Report gives the load's share of the result.
func (l *Load) Report() Team {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	t := Team{
		Team: l.Team, Product: l.Product, Share: l.Share, Requests: l.requests, Service: l.service,
		Ends: make(map[string]int64), Reasons: make(map[string]int64),
		Total: spreadOf(l.total), FirstByte: spreadOf(l.firstByte), Between: spreadOf(l.between),
	}
	for o, n := range l.ends {
		if n > 0 {
			t.Ends[Outcome(o).String()] = n
		}
	}
	for name, n := range l.reasons {
		t.Reasons[name] = n
	}
	return t
}

// Sum fills in the totals from the teams.
func (r *Result) Sum() {
	r.Reasons = make(map[string]int64)
	for _, t := range r.Teams {
		r.Requests += t.Requests
		r.Answered += t.Ends[OutcomeAnswered.String()]
		r.NotWhole += t.Ends[OutcomeNotWhole.String()]
		for name, n := range t.Reasons {
			r.Reasons[name] += n
		}
	}
	sort.SliceStable(r.Teams, func(i, j int) bool { return r.Teams[i].Product < r.Teams[j].Product })
}

func spreadOf(h *hdrhistogram.Histogram) Spread {
	if h == nil {
		return Spread{}
	}
	return Spread{
		Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95),
		P99: h.ValueAtQuantile(99), Max: h.Max(),
	}
}

// Round gives a ratio with three digits after the point.
func Round(v float64) float64 { return math.Round(v*1000) / 1000 }
