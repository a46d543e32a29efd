package valve

import (
	"testing"
	"time"
)

// TestValve checks the bound after a series of scheduling delay samples.
func TestValve(t *testing.T) {
	const period = 50 * time.Millisecond
	for name, c := range map[string]struct {
		limiter    ConcurrencyLimiter
		late       time.Duration
		since      time.Duration // interval between samples; 0 for period
		times      int
		open       int
		from, upTo int // range of the resulting bound; both 0 for none
	}{
		"no bound while there is time":       {late: time.Millisecond, times: 100, open: 1000},
		"no bound from a wait between":       {late: 10 * time.Millisecond, times: 100, open: 1000},
		"falls by half":                      {limiter: ConcurrencyLimiter{InitialLimit: 400}, late: 20 * time.Millisecond, times: 12, open: 400, from: 195, upTo: 205},
		"begins at what is open":             {late: 20 * time.Millisecond, times: 1, open: 100, from: 90, upTo: 99},
		"one wait beside few requests":       {limiter: ConcurrencyLimiter{InitialLimit: 400}, late: 20 * time.Millisecond, times: 1, open: 1, from: 370, upTo: 390},
		"a freeze beside few requests":       {limiter: ConcurrencyLimiter{InitialLimit: 400}, late: 9 * time.Second, since: 9 * time.Second, times: 1, open: 1, from: 200, upTo: 200},
		"one long stall is no more than one": {limiter: ConcurrencyLimiter{InitialLimit: 400}, late: 5 * time.Second, since: 5 * time.Second, times: 1, open: 400, from: 200, upTo: 200},
		"never below the minimum":            {limiter: ConcurrencyLimiter{InitialLimit: 400}, late: time.Second, times: 100, open: 400, from: DefaultMinLimit, upTo: DefaultMinLimit},
		"a minimum of its own":               {limiter: ConcurrencyLimiter{InitialLimit: 400, MinLimit: 30}, late: time.Second, times: 100, open: 400, from: 30, upTo: 30},
		"doubles while it is used":           {limiter: ConcurrencyLimiter{InitialLimit: 100}, late: time.Millisecond, times: 20, open: 1000, from: 195, upTo: 205},
		"stays while it is not used":         {limiter: ConcurrencyLimiter{InitialLimit: 100}, late: time.Millisecond, times: 20, open: 50, from: 100, upTo: 100},
		"stays between":                      {limiter: ConcurrencyLimiter{InitialLimit: 100}, late: 10 * time.Millisecond, times: 20, open: 1000, from: 100, upTo: 100},
	} {
		t.Run(name, func(t *testing.T) {
			v := c.limiter
			since := c.since
			if since == 0 {
				since = period
			}
			for range c.times {
				v.Observe(c.late, since, c.open)
			}
			bound := v.Limit()
			if bound < c.from || bound > c.upTo {
				t.Errorf("bound %d, want %d to %d", bound, c.from, c.upTo)
			}
			if bound > 0 && (v.Full(bound-1, bound-1, 1) || !v.Full(bound, bound, 1)) {
				t.Errorf("with a bound of %d: full at %d %t, at %d %t", bound, bound-1, v.Full(bound-1, bound-1, 1), bound, v.Full(bound, bound, 1))
			}
			if bound == 0 && v.Full(1<<20, 1<<20, 1) {
				t.Error("full without a bound")
			}
		})
	}
}

// TestBoundIsShared guards against one team that fills a router's bound and locks out the other teams.
func TestBoundIsShared(t *testing.T) {
	for name, c := range map[string]struct {
		open, mine, teams int
		full              bool
	}{
		"a team that fills it":          {open: 100, mine: 99, teams: 2, full: true},
		"a small one beside it":         {open: 100, mine: 1, teams: 2},
		"one with its even part":        {open: 100, mine: 50, teams: 2, full: true},
		"one with just under that":      {open: 100, mine: 49, teams: 2},
		"a small one beside the most":   {open: 125, mine: 1, teams: 2, full: true},
		"one of many small ones":        {open: 110, mine: 1, teams: 60},
		"one of many small ones, twice": {open: 110, mine: 2, teams: 60, full: true},
		"within the bound":              {open: 99, mine: 99, teams: 1},
	} {
		t.Run(name, func(t *testing.T) {
			v := ConcurrencyLimiter{InitialLimit: 100}
			if got := v.Full(c.open, c.mine, c.teams); got != c.full {
				t.Errorf("full %t, want %t", got, c.full)
			}
		})
	}
}

// TestBoundKeepsKnownThroughput guards against a bound that falls to its minimum because of a burst of refusals, although the router is
// known to serve more.
func TestBoundKeepsKnownThroughput(t *testing.T) {
	const period = 50 * time.Millisecond
	for name, c := range map[string]struct {
		served     int     // requests per period, each open for 0.5 s, before the burst
		during     int     // requests per period during the burst
		refused    float64 // fraction of the processor time during the burst
		burst      time.Duration
		from, upTo int
	}{
		"nothing known":                 {burst: 3 * time.Second, from: DefaultMinLimit, upTo: DefaultMinLimit},
		"a hundred per second":          {served: 5, burst: 3 * time.Second, from: 28, upTo: 35},
		"as much while it refuses":      {served: 1, during: 3, refused: 0.4, burst: 3 * time.Second, from: 28, upTo: 36},
		"long ago":                      {served: 5, burst: time.Minute, from: DefaultMinLimit, upTo: DefaultMinLimit},
		"refusals that are all it does": {served: 1, during: 1, refused: 1, burst: 3 * time.Second, from: DefaultMinLimit, upTo: 18},
	} {
		t.Run(name, func(t *testing.T) {
			v := ConcurrencyLimiter{InitialLimit: 150}
			for range 200 {
				v.Served(c.served)
				v.Observe(time.Millisecond, period, 10*c.served)
			}
			for range int(c.burst / period) {
				v.Served(c.during)
				v.Refused(c.refused, period)
				v.Observe(40*time.Millisecond, period, v.Limit())
			}
			if bound := v.Limit(); bound < c.from || bound > c.upTo {
				t.Errorf("bound %d, want %d to %d", bound, c.from, c.upTo)
			}
		})
	}
}
