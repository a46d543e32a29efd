package pool

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

var advertisedSeeds = flag.Int("said-seeds", 5, "seeds of TestRandomWords")

// TestLeavingServerGetsNothing guards against requests that reach a server after it said that it leaves: the platform, which may
// be silent or behind, does not matter, and another start of the server, or another server at its address, is served at once.
func TestLeavingServerGetsNothing(t *testing.T) {
	const now = time.Second
	first := Server{ID: "s0", Service: "chat", Address: "10.0.0.1:80", DataCentre: "east", Slots: 64, Born: 1}
	for name, c := range map[string]struct {
		then func(p *Pool)
		want bool // it gets work
	}{
		"the platform is silent":            {then: func(p *Pool) { p.SourceLost(now) }},
		"the platform still says ready":     {then: func(p *Pool) { p.Set(now, first) }},
		"its entry goes and comes back":     {then: func(p *Pool) { p.Remove(now, "s0"); p.Set(now, first) }},
		"it lapses while the store is away": {then: func(p *Pool) { p.SourceLost(now); p.Remove(now, "s0"); p.SourceBack(now); p.Set(now, first) }},
		"it starts again":                   {want: true, then: func(p *Pool) { next := first; next.Born = 2; p.Set(now, next) }},
		"another has its address":           {want: true, then: func(p *Pool) { next := first; next.ID = "s1"; p.Set(now, next) }},
		"it starts again and an old watch tells of the first start": {then: func(p *Pool) {
			next := first
			next.Born = 2
			p.Set(now, next)
			p.Set(now, first)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(0)
			p.Set(0, first)
			r, waiting := mustSend(t, p, now, chatRequest(now, 1, 7)), mustSend(t, p, now, chatRequest(now, 2, 7))
			p.Leaving(now, r)
			if p.Open(now, waiting) {
				t.Error("a request that was chosen for it may still be sent")
			}
			if p.Serving() {
				t.Error("serving without a server")
			}
			c.then(p)
			v, decided := p.Admit(now, chatRequest(now, 3, 7))
			if got := decided && v.Run != nil; got != c.want {
				t.Errorf("sent %t, want %t", got, c.want)
			}
		})
	}
}

// TestWordsOutlastAnEntry guards against words that are lost because the server's entry went and came back while it answered.
func TestWordsOutlastAnEntry(t *testing.T) {
	const now = time.Second
	p := newPool(1)
	r := mustSend(t, p, now, chatRequest(now, 1, 7))
	entry := r.Server
	p.Remove(now, entry.ID)
	p.Set(now, entry)
	p.Leaving(now, r)
	if p.Serving() {
		t.Error("the server counts as serving although it said that it leaves")
	}
}

// TestRestingServer guards against a flood of a server that turned a request away and wants nothing for three seconds: of 100
// requests that wait or come none is sent until then, and afterwards one tries it first.
func TestRestingServer(t *testing.T) {
	const (
		rest    = 3 * time.Second
		waiting = 100
	)
	for name, c := range map[string]struct {
		patience time.Duration // to a request's objective
		refused  bool
	}{
		"requests that can't be in time": {patience: time.Second, refused: true},
		"requests that can wait":         {patience: 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(1)
			now := time.Second
			r := mustSend(t, p, now, chatRequest(now, 0, 7))
			p.Rest(now, r, rest)
			p.Ended(now, r, Result{Rejected: true})
			runs, refused := []*Run{}, 0
			take := func(v Verdict) {
				switch {
				case v.Run != nil:
					runs = append(runs, v.Run)
				case v.Reason != fleet.ReasonServersRest:
					t.Errorf("refused as %s", v.Reason)
				case v.RetryAfter < rest || v.RetryAfter > rest+2*maxBackoffJitter:
					t.Errorf("told to come back after %v, the server rests for %v", v.RetryAfter, rest)
				default:
					refused++
				}
			}
			for i := range waiting {
				a := chatRequest(now, 1+i, 7)
				a.Team, a.Objective, a.Deadline = fmt.Sprint("t", i), now+c.patience, now+2*c.patience
				if v, decided := p.Admit(now, a); decided {
					take(v)
				}
			}
			for ; now < time.Second+rest; now += 10 * time.Millisecond {
				for _, v := range p.Turn(now) {
					take(v)
				}
			}
			if len(runs) > 0 || c.refused != (refused == waiting) {
				t.Fatalf("%d sent and %d refused of %d while the server rests", len(runs), refused, waiting)
			}
			if c.refused {
				return
			}
			for _, v := range p.Turn(now + maxBackoffJitter) {
				take(v)
			}
			if len(runs) != 1 {
				t.Fatalf("%d sent at the end of the rest, want one", len(runs))
			}
			p.Began(now+maxBackoffJitter, runs[0])
			for range waiting {
				for _, v := range p.Turn(now + maxBackoffJitter) {
					take(v)
				}
			}
			if len(runs) < 2 {
				t.Error("no more are sent once one was served")
			}
		})
	}
}

// A router that stood still, or whose server's rest ended meanwhile, is bound no longer; a shorter wish does not shorten a longer.
func TestRestEnds(t *testing.T) {
	p := newPool(1)
	r := mustSend(t, p, time.Second, chatRequest(time.Second, 0, 7))
	p.Rest(time.Second, r, 3*time.Second)
	p.Rest(time.Second, r, 100*time.Millisecond)
	if v, decided := p.Admit(2*time.Second, chatRequest(2*time.Second, 1, 7)); !decided || v.Reason != fleet.ReasonServersRest {
		t.Errorf("decided %t, %s while the server rests", decided, v.Reason)
	}
	mustSend(t, p, time.Minute, chatRequest(time.Minute, 2, 7))
}

// Another server is used while one rests.
func TestOthersServeWhileOneRests(t *testing.T) {
	p := newPool(2)
	r := mustSend(t, p, time.Second, chatRequest(time.Second, 0, 7))
	p.Rest(time.Second, r, time.Minute)
	p.Ended(time.Second, r, Result{Rejected: true})
	for i := range 20 {
		if next := mustSend(t, p, 2*time.Second, &Ask{
			ID: fmt.Sprint(i), Service: "chat", Team: fmt.Sprint("t", i), Prompt: 10, Output: 1,
			Arrived: 2 * time.Second, Objective: 3 * time.Second, Deadline: 4 * time.Second,
		}); next.Server.ID == r.Server.ID {
			t.Fatalf("request %d is sent to the server that rests", i)
		}
	}
}

// wordy is a server of TestRandomWords.
type advertisingServer struct {
	Server
	leaving bool
	rests   map[int]time.Duration // by router, until when it wants nothing
}

// heardWord is what a router was told by a start of a server.
type advertisement struct {
	leavingAt  time.Duration // when; 0 for never
	restFrom   time.Duration
	restTo     time.Duration
	restBroken int // requests that came between
}

// TestRandomWords lets servers leave, rest and start again at random before several routers with a platform that is late and
// confused, and counts requests that reach a server against its word.
func TestRandomWords(t *testing.T) {
	for seed := range *advertisedSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomAdvertisements(t, uint64(seed)) })
	}
}

func runRandomAdvertisements(t *testing.T, seed uint64) {
	const (
		routers, servers = 4, 5
		step             = 10 * time.Millisecond
		length           = 20 * time.Second
		onTheWay         = 500 * time.Millisecond // in which what was sent may still come
	)
	random := rand.New(rand.NewPCG(seed, 11))
	var list []*advertisingServer
	pools := make([]*Pool, routers)
	for i := range pools {
		pools[i] = newPool(0)
		pools[i].Self = fmt.Sprint("r", i)
	}
	tell := func(now time.Duration, s *advertisingServer) {
		for _, p := range pools {
			if random.IntN(4) > 0 { // some hear of it late
				p.Set(now, s.Server)
			}
		}
	}
	for i := range servers {
		s := &advertisingServer{Server: Server{ID: fmt.Sprint("s", i), Service: "chat", Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: "east", Slots: 64, Born: 1}, rests: map[int]time.Duration{}}
		list = append(list, s)
		tell(0, s)
	}
	words := map[string]*advertisement{}
	word := func(router int, s *advertisingServer) *advertisement {
		key := fmt.Sprint(router, s.ID, s.Born)
		if words[key] == nil {
			words[key] = &advertisement{}
		}
		return words[key]
	}
	type event struct {
		at time.Duration
		do func(now time.Duration)
	}
	var events []event
	later := func(at time.Duration, do func(now time.Duration)) { events = append(events, event{at, do}) }
	reached := 0
	arrive := func(now time.Duration, router int, r *Run) {
		var s *advertisingServer
		for _, o := range list {
			if o.ID == r.Server.ID {
				s = o
			}
		}
		p := pools[router]
		if s.Born != r.Server.Born {
			p.Ended(now, r, Result{Another: true})
			return
		}
		reached++
		w := word(router, s)
		if w.leavingAt > 0 && now > w.leavingAt+onTheWay {
			t.Errorf("at %v router %d sends to %s, which said at %v that it leaves", now, router, s.ID, w.leavingAt)
		}
		if now > w.restFrom+onTheWay && now < w.restTo {
			if w.restBroken++; w.restBroken > 2 {
				t.Errorf("at %v router %d sends request %d to %s, which rests from %v to %v", now, router, w.restBroken, s.ID, w.restFrom, w.restTo)
			}
		}
		leaving, rest := s.leaving, s.rests[router]-now
		later(now+time.Duration(1+random.IntN(40))*step, func(now time.Duration) {
			if leaving {
				p.Leaving(now, r)
				if w.leavingAt == 0 {
					w.leavingAt = now
				}
			}
			if rest > 0 {
				p.Rest(now, r, rest)
				w.restFrom, w.restTo, w.restBroken = now, now+rest, 0
				p.Ended(now, r, Result{Rejected: true})
				return
			}
			p.Began(now, r)
			p.Ended(now, r, Result{})
		})
	}
	decide := func(now time.Duration, router int, v Verdict) {
		if v.Run == nil {
			return
		}
		later(now+time.Duration(random.IntN(60))*step, func(now time.Duration) { // a wait for the processor before the first byte
			if !pools[router].Open(now, v.Run) {
				pools[router].Ended(now, v.Run, Result{Left: true})
				return
			}
			arrive(now+step, router, v.Run)
		})
	}
	id := 0
	for now := step; now < length; now += step {
		due := events
		events = nil
		for _, e := range due {
			if e.at <= now {
				e.do(now)
			} else {
				events = append(events, e)
			}
		}
		for router, p := range pools {
			if random.IntN(2) == 0 {
				id++
				a := chatRequest(now, id, uint64(10+random.IntN(20)))
				a.Team = fmt.Sprint("t", random.IntN(50))
				if v, decided := p.Admit(now, a); decided {
					decide(now, router, v)
				}
			}
			for _, v := range p.Turn(now) {
				decide(now, router, v)
			}
		}
		s := list[random.IntN(servers)]
		switch random.IntN(60) {
		case 0:
			s.leaving = true
		case 1:
			s.rests[random.IntN(routers)] = now + time.Duration(1+random.IntN(4))*time.Second
		case 2:
			if s.leaving {
				s.leaving, s.rests = false, map[int]time.Duration{}
				s.Born++
				tell(now, s)
			}
		case 3:
			tell(now, s) // anew, ready, whatever it said itself
		case 4:
			for _, p := range pools {
				p.Remove(now, s.ID)
			}
			tell(now, s)
		}
	}
	if reached < 1000 {
		t.Errorf("only %d requests reached a server", reached)
	}
}
