package plain

import (
	"testing"
	"time"
)

const (
	testSlots     = 6
	testWork      = 60 * time.Millisecond
	testObjective = 300 * time.Millisecond
	testPeriod    = 120 * time.Millisecond
	testTime      = 10 * time.Second
)

// fleetService returns what a router knows after some seconds of a demand, as a multiple of the capacity of seven servers, of
// which it sees a fraction.
func fleetService(demand, fraction float64) (*Service, []Server) {
	s := &Service{}
	capacity := 7 * testSlots / testWork.Seconds()
	var servers []Server
	for range 7 {
		servers = append(servers, Server{Slots: testSlots, Load: min(30, testSlots*demand), Known: true, Speed: &Speed{}})
	}
	gap := time.Duration(float64(time.Second) / (demand * capacity * fraction))
	next := time.Duration(0)
	for now := time.Duration(0); now <= testTime; now += testPeriod {
		for ; next < now; next += gap {
			s.Arrive(next, "read", 4*time.Second)
		}
		ends := min(1, demand) * capacity
		s.SetPeers(now, Demand{First: (1 - fraction) * demand * capacity, Ended: ends}, true, min(1, demand)*7*testSlots)
	}
	return s, servers
}

// TestSharesOfDemand guards against refusals while there is capacity, and against sending more than the servers can process.
func TestSharesOfDemand(t *testing.T) {
	for name, c := range map[string]struct{ demand, minFirst, maxFirst float64 }{
		"four fifths":  {demand: 0.8, minFirst: 1, maxFirst: 1},
		"1.5 times":    {demand: 1.5, minFirst: 0.55, maxFirst: 0.8},
		"2.5 times":    {demand: 2.5, minFirst: 0.33, maxFirst: 0.48},
		"almost idle":  {demand: 0.05, minFirst: 1, maxFirst: 1},
		"twenty times": {demand: 20, minFirst: 0.02, maxFirst: 0.06},
	} {
		t.Run(name, func(t *testing.T) {
			s, servers := fleetService(c.demand, 0.02)
			p := s.Plan(testTime, servers, testObjective)
			if p.First < c.minFirst || p.First > c.maxFirst || p.Short != (c.maxFirst < 1) {
				t.Errorf("plan %+v, want between %.2f and %.2f of first tries", p, c.minFirst, c.maxFirst)
			}
			if p.Short && (p.RetryAfter < minRetryAfter || p.RetryAfter > maxRetryAfter) {
				t.Errorf("Retry-After %v", p.RetryAfter)
			}
			s.SetPeers(testTime+testPeriod, Demand{}, false, 0)
			if q := s.Plan(testTime, servers, testObjective); q.First > 1.5*p.First || q.First < p.First/1.5 {
				t.Errorf("%.2f of first tries sent once sums are unknown, %.2f before", q.First, p.First)
			}
		})
	}
}

// TestUnknownServiceIsNotLimited guards against refusals by a router that has just started, or that doesn't know what its servers
// can do.
func TestUnknownServiceIsNotLimited(t *testing.T) {
	known, servers := fleetService(2.5, 0.02)
	for name, c := range map[string]struct {
		service *Service
		servers []Server
	}{
		"zero value":    {&Service{}, servers},
		"no servers":    {known, nil},
		"unknown slots": {known, []Server{{Load: 30, Known: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			p := c.service.Plan(testTime, c.servers, testObjective)
			if p.Short || !c.service.Send(p, "read", false) || !c.service.Send(p, "read", true) {
				t.Errorf("plan %+v, want no limit", p)
			}
		})
	}
}

// TestBusyServersGetLess guards against filling the queue of a server that slows down while others have room.
func TestBusyServersGetLess(t *testing.T) {
	s, servers := fleetService(2.5, 0.02)
	servers[0].Load, servers[1].Load, servers[2].Limit = 29, 8, 1
	p := s.Plan(testTime, servers, testObjective)
	if p.Weights[0] != 0 || p.Weights[1] <= 0 || p.Weights[2] > 1 {
		t.Errorf("weights %.0f, want none for a full server, some for one with room and at most 1 for a limited one", p.Weights)
	}
}

// TestRoutesAreServedAlike guards against a route that gets nothing because its requests come in step with those of another.
func TestRoutesAreServedAlike(t *testing.T) {
	s, servers := fleetService(2, 0.02)
	p := s.Plan(testTime, servers, testObjective)
	sent := map[string]int{}
	for range 1000 {
		for _, route := range []string{"read", "write"} {
			if s.Send(p, route, false) {
				sent[route]++
			}
		}
	}
	if d := sent["read"] - sent["write"]; d < -1 || d > 1 || sent["read"] < 400 {
		t.Errorf("sent %v of 1000 each", sent)
	}
}

// TestReturningCallersAreKnown guards against serving callers that come back late in place of those that may be answered in
// time, and against taking callers with less time than others for such.
func TestReturningCallersAreKnown(t *testing.T) {
	for name, c := range map[string]struct {
		calm   []time.Duration // times that callers give before capacity is short
		caller time.Duration
		want   bool
	}{
		"first try":            {calm: []time.Duration{4 * time.Second}, caller: 4 * time.Second},
		"returned":             {calm: []time.Duration{4 * time.Second}, caller: 3400 * time.Millisecond, want: true},
		"no time given":        {calm: []time.Duration{4 * time.Second}},
		"callers that differ":  {calm: []time.Duration{4 * time.Second, time.Second, 2 * time.Second}, caller: time.Second},
		"nothing known before": {caller: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Service{}
			for i := range 100 {
				if len(c.calm) > 0 {
					s.Arrive(testTime, "read", c.calm[i%len(c.calm)])
				}
			}
			s.short, s.shortAt = true, testTime
			if got := s.Arrive(testTime+time.Second, "read", c.caller); got != c.want {
				t.Errorf("returning %t, want %t", got, c.want)
			}
		})
	}
}

// TestSlowServerIsLearned guards against taking all servers of a service for equally fast.
func TestSlowServerIsLearned(t *testing.T) {
	s, _ := fleetService(0.8, 0.02)
	slow, fast := &Speed{}, &Speed{}
	for i := range 300 {
		now := testTime + time.Duration(i)*10*time.Millisecond
		s.Ended(now, slow, 2*testWork, 3, testSlots)
		s.Ended(now, fast, testWork, 3, testSlots)
	}
	if a, b := slow.factor(testWork), fast.factor(testWork); a < 1.5*b {
		t.Errorf("factors %.2f and %.2f, want the first much higher", a, b)
	}
}
