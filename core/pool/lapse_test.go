package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestLapsedEntries checks that a server whose entry may have expired in an outage is kept for a grace period, as it may be alive, and that a server whose
// entry is removed later is not.
func TestLapsedEntries(t *testing.T) {
	const back = 10 * time.Second
	tests := map[string]struct {
		events func(p *Pool)
		at     time.Duration
		want   bool
	}{
		"went during the outage": {
			events: func(p *Pool) { p.Lapse(back, "a", back); p.SourceBack(back) },
			at:     back + time.Second, want: true,
		},
		"went during the outage and did not come back": {
			events: func(p *Pool) { p.Lapse(back, "a", back); p.SourceBack(back) },
			at:     back + lapseGrace,
		},
		"came back": {
			events: func(p *Pool) {
				p.Lapse(back, "a", back)
				p.SourceBack(back)
				p.SetServer(back+time.Second, server("a"))
			},
			at: back + 2*lapseGrace, want: true,
		},
		"leaves right after the outage": {
			events: func(p *Pool) { p.SourceBack(back); p.RemoveServer(back+time.Second, "a") },
			at:     back + time.Second,
		},
		"leaves while this router does not reach the platform": {
			events: func(p *Pool) { p.SourceLost(back + time.Second); p.RemoveServer(back+2*time.Second, "a") },
			at:     back + 2*time.Second,
		},
		"read long after the return": {
			events: func(p *Pool) { p.Lapse(back+lapseGrace, "a", back) },
			at:     back + lapseGrace,
		},
		"the grace began before this router's return": {
			events: func(p *Pool) { p.Lapse(back+time.Second, "a", back); p.SourceBack(back + time.Second) },
			at:     back + lapseGrace,
		},
		"drained before": {
			events: func(p *Pool) {
				s := server("a")
				s.Draining = true
				p.SetServer(back-time.Second, s)
				p.Lapse(back, "a", back)
			},
			at: back,
		},
		"another outage before it can come back": {
			events: func(p *Pool) {
				p.Lapse(back, "a", back)
				p.SourceBack(back)
				p.SourceLost(back + time.Second)
				p.expire(back + 2*lapseGrace)
				p.SourceBack(back + 2*lapseGrace)
			},
			at: back + 2*lapseGrace, want: true,
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := &Pool{Self: "r1", DataCentre: "east"}
			p.SetServer(0, server("a"))
			p.SourceLost(time.Second)
			p.SourceBack(2 * time.Second)
			c.events(p)
			p.SourceBack(c.at)
			if got := len(p.Servers()) == 1; got != c.want {
				t.Errorf("known: %t, want %t", got, c.want)
			}
		})
	}
}

// TestLapsedServersGetNoWork guards against requests to a server that left just after an outage, as if its entry had expired in it (DRAIN), and against a
// service without servers since the entries of most expired (LOST).
func TestLapsedServersGetNoWork(t *testing.T) {
	const back = 10 * time.Second
	for name, d := range map[string]struct {
		servers int
		lapsed  []int
		then    func(p *Pool)
		at      time.Duration // since the return
		want    int           // servers that get work
	}{
		"one of four":              {servers: 4, lapsed: []int{1}, want: 3},
		"one of three":             {servers: 3, lapsed: []int{1}, want: 2},
		"half of them":             {servers: 4, lapsed: []int{1, 2}, want: 4},
		"all of them":              {servers: 4, lapsed: []int{0, 1, 2, 3}, want: 4},
		"the only one":             {servers: 1, lapsed: []int{0}, want: 1},
		"most are back":            {servers: 4, lapsed: []int{0, 1, 2, 3}, want: 3, then: func(p *Pool) { again(p, 0, 1, 2) }},
		"another outage, a few":    {servers: 4, lapsed: []int{1}, want: 3, at: lapseGrace, then: func(p *Pool) { p.SourceLost(back + time.Second) }},
		"another outage, most":     {servers: 4, lapsed: []int{0, 1, 2}, want: 4, at: lapseGrace, then: func(p *Pool) { p.SourceLost(back + time.Second) }},
		"most did not come back":   {servers: 4, lapsed: []int{0, 1, 2}, want: 1, at: lapseGrace},
		"one of four is back":      {servers: 4, lapsed: []int{1}, want: 4, then: func(p *Pool) { again(p, 1) }},
		"all but one of six leave": {servers: 6, lapsed: []int{0, 1, 2, 3, 4}, want: 6},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Pool{Self: "r1", DataCentre: "east"}
			for i := range d.servers {
				p.SetServer(0, numbered(i))
			}
			for _, i := range d.lapsed {
				p.Lapse(back, numbered(i).ID, back)
			}
			if d.then != nil {
				d.then(p)
			}
			p.expire(back + d.at)
			got := 0
			for _, b := range p.servers {
				if p.accepting(b) {
					got++
				}
			}
			if got != d.want {
				t.Errorf("%d servers get work, want %d", got, d.want)
			}
		})
	}
}

func numbered(i int) Server {
	s := server(fmt.Sprint("s", i))
	s.Address = fmt.Sprint("10.0.0.", i, ":80")
	return s
}

// again lets servers write their entries again.
func again(p *Pool, servers ...int) {
	for _, i := range servers {
		p.SetServer(11*time.Second, numbered(i))
	}
}

func server(id string) Server {
	return Server{ID: id, Service: "chat", Address: "10.0.0.1:80", DataCentre: "east", Slots: 8}
}

// TestUnknownServiceTakesNoAddress guards against an odd entry that removes a sound server by its address.
func TestUnknownServiceTakesNoAddress(t *testing.T) {
	for name, d := range map[string]struct {
		service string
		want    []string
	}{
		"of no service":       {"ghost", []string{"a", "odd"}},
		"of the same service": {"chat", []string{"odd"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := versionPool("v1")
			odd := versionServer(0, "v1")
			odd.ID, odd.Service = "odd", d.service
			p.SetServer(time.Second, odd)
			got := p.Servers()
			slices.Sort(got)
			if !slices.Equal(got, d.want) {
				t.Errorf("servers %v, want %v", got, d.want)
			}
		})
	}
}
