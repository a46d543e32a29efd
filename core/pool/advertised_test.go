package pool

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

var advertisedSeeds = flag.Int("said-seeds", 5, "number of seeds of TestRandomAdvertisements")

// TestLeavingServerGetsNothing guards against requests that reach a server after it advertised that it is leaving, even if
// the platform is unreachable or behind. A new incarnation of the server, or another server at its address, is used at once.
func TestLeavingServerGetsNothing(t *testing.T) {
	const now = time.Second
	first := Server{ID: "s0", Service: "chat", Address: "10.0.0.1:80", DataCentre: "east", Slots: 64, StartMillis: 1}
	for name, c := range map[string]struct {
		then func(p *Pool)
		want bool // the server gets requests
	}{
		"the platform is silent":           {then: func(p *Pool) { p.SourceLost(now) }},
		"the platform still reports ready": {then: func(p *Pool) { p.SetServer(now, first) }},
		"its entry goes and comes back":    {then: func(p *Pool) { p.RemoveServer(now, "s0"); p.SetServer(now, first) }},
		"it lapses while the store is away": {then: func(p *Pool) {
			p.SourceLost(now)
			p.RemoveServer(now, "s0")
			p.SourceBack(now)
			p.SetServer(now, first)
		}},
		"it starts again":         {want: true, then: func(p *Pool) { next := first; next.StartMillis = 2; p.SetServer(now, next) }},
		"another has its address": {want: true, then: func(p *Pool) { next := first; next.ID = "s1"; p.SetServer(now, next) }},
		"it starts again and an old watch tells of the first start": {then: func(p *Pool) {
			next := first
			next.StartMillis = 2
			p.SetServer(now, next)
			p.SetServer(now, first)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(0)
			p.SetServer(0, first)
			r, waiting := mustSend(t, p, now, chatRequest(now, 1, 7)), mustSend(t, p, now, chatRequest(now, 2, 7))
			p.MarkLeaving(now, r)
			if p.Accepting(now, waiting) {
				t.Error("a request that was assigned to the server may still be sent")
			}
			if p.Serving() {
				t.Error("Serving is true without a server")
			}
			c.then(p)
			v, decided := p.Admit(now, chatRequest(now, 3, 7))
			if got := decided && v.Run != nil; got != c.want {
				t.Errorf("sent %t, want %t", got, c.want)
			}
		})
	}
}

// TestAdvertisementOutlivesEntry guards against losing an advertisement because the server's entry was removed and added
// again while the server responded.
func TestAdvertisementOutlivesEntry(t *testing.T) {
	const now = time.Second
	p := newPool(1)
	r := mustSend(t, p, now, chatRequest(now, 1, 7))
	entry := r.Server
	p.RemoveServer(now, entry.ID)
	p.SetServer(now, entry)
	p.MarkLeaving(now, r)
	if p.Serving() {
		t.Error("the server counts as serving although it advertised that it is leaving")
	}
}

// TestServerBackoff guards against flooding a server that rejected a request and asked routers to back off for three
// seconds. Of 100 waiting or new requests none is sent until then, and afterwards a single one probes the server.
func TestServerBackoff(t *testing.T) {
	const (
		backoff = 3 * time.Second
		waiting = 100
	)
	for name, c := range map[string]struct {
		timeout  time.Duration // time until a request's objective
		rejected bool
	}{
		"requests that can't be in time": {timeout: time.Second, rejected: true},
		"requests that can wait":         {timeout: 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(1)
			now := time.Second
			r := mustSend(t, p, now, chatRequest(now, 0, 7))
			p.BackOff(now, r, backoff)
			p.Ended(now, r, Result{Rejected: true})
			runs, rejected := []*Run{}, 0
			take := func(v Decision) {
				switch {
				case v.Run != nil:
					runs = append(runs, v.Run)
				case v.Reason != fleet.ReasonServersRest:
					t.Errorf("rejected with reason %s", v.Reason)
				case v.RetryAfter < backoff || v.RetryAfter > backoff+2*maxBackoffJitter:
					t.Errorf("Retry-After %v, want the back-off of %v plus jitter", v.RetryAfter, backoff)
				default:
					rejected++
				}
			}
			for i := range waiting {
				a := chatRequest(now, 1+i, 7)
				a.Team, a.Objective, a.Deadline = fmt.Sprint("t", i), now+c.timeout, now+2*c.timeout
				if v, decided := p.Admit(now, a); decided {
					take(v)
				}
			}
			for ; now < time.Second+backoff; now += 10 * time.Millisecond {
				for _, v := range p.Dispatch(now) {
					take(v)
				}
			}
			if len(runs) > 0 || c.rejected != (rejected == waiting) {
				t.Fatalf("%d sent and %d rejected of %d during the back-off", len(runs), rejected, waiting)
			}
			if c.rejected {
				return
			}
			for _, v := range p.Dispatch(now + maxBackoffJitter) {
				take(v)
			}
			if len(runs) != 1 {
				t.Fatalf("%d sent at the end of the back-off, want one", len(runs))
			}
			p.Began(now+maxBackoffJitter, runs[0])
			for range waiting {
				for _, v := range p.Dispatch(now + maxBackoffJitter) {
					take(v)
				}
			}
			if len(runs) < 2 {
				t.Error("no more requests are sent after one succeeded")
			}
		})
	}
}

// TestBackoffEnds checks that a back-off is over after its period even if the router was frozen meanwhile, and that a
// shorter back-off does not shorten a longer one.
func TestBackoffEnds(t *testing.T) {
	p := newPool(1)
	r := mustSend(t, p, time.Second, chatRequest(time.Second, 0, 7))
	p.BackOff(time.Second, r, 3*time.Second)
	p.BackOff(time.Second, r, 100*time.Millisecond)
	if v, decided := p.Admit(2*time.Second, chatRequest(2*time.Second, 1, 7)); !decided || v.Reason != fleet.ReasonServersRest {
		t.Errorf("decided %t, reason %s during the back-off", decided, v.Reason)
	}
	mustSend(t, p, time.Minute, chatRequest(time.Minute, 2, 7))
}

// TestOthersServeDuringBackoff checks that another server is used while one asks routers to back off.
func TestOthersServeDuringBackoff(t *testing.T) {
	p := newPool(2)
	r := mustSend(t, p, time.Second, chatRequest(time.Second, 0, 7))
	p.BackOff(time.Second, r, time.Minute)
	p.Ended(time.Second, r, Result{Rejected: true})
	for i := range 20 {
		if next := mustSend(t, p, 2*time.Second, &Request{
			ID: fmt.Sprint(i), Service: "chat", Team: fmt.Sprint("t", i), PromptTokens: 10, OutputTokens: 1,
			Arrived: 2 * time.Second, Objective: 3 * time.Second, Deadline: 4 * time.Second,
		}); next.Server.ID == r.Server.ID {
			t.Fatalf("request %d was sent to the server that asked for back-off", i)
		}
	}
}

// advertisingServer is a server of TestRandomAdvertisements.
type advertisingServer struct {
	Server
	leaving      bool
	backoffUntil map[int]time.Duration // end of the back-off, by router
}

// advertisement is what an incarnation of a server advertised to a router.
type advertisement struct {
	leavingAt   time.Duration // when it was advertised; 0 for never
	backoffFrom time.Duration
	backoffTo   time.Duration
	violations  int // requests received during the back-off
}

// TestRandomAdvertisements lets servers leave, ask for back-off and restart at random, with several routers and a platform
// whose entries are late and wrong, and checks that no request reaches a server against its advertisement.
func TestRandomAdvertisements(t *testing.T) {
	for seed := range *advertisedSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomAdvertisements(t, uint64(seed)) })
	}
}

func runRandomAdvertisements(t *testing.T, seed uint64) {
	const (
		routers, servers = 4, 5
		step             = 10 * time.Millisecond
		duration         = 20 * time.Second
		inFlight         = 500 * time.Millisecond // for which requests already sent may still arrive
	)
	random := rand.New(rand.NewPCG(seed, 11))
	var list []*advertisingServer
	pools := make([]*Pool, routers)
	for i := range pools {
		pools[i] = newPool(0)
		pools[i].Self = fmt.Sprint("r", i)
	}
	publish := func(now time.Duration, s *advertisingServer) {
		for _, p := range pools {
			if random.IntN(4) > 0 { // some learn of it late
				p.SetServer(now, s.Server)
			}
		}
	}
	for i := range servers {
		s := &advertisingServer{Server: Server{ID: fmt.Sprint("s", i), Service: "chat", Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: "east", Slots: 64, StartMillis: 1}, backoffUntil: map[int]time.Duration{}}
		list = append(list, s)
		publish(0, s)
	}
	advertised := map[string]*advertisement{}
	advertisedTo := func(router int, s *advertisingServer) *advertisement {
		key := fmt.Sprint(router, s.ID, s.StartMillis)
		if advertised[key] == nil {
			advertised[key] = &advertisement{}
		}
		return advertised[key]
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
		if s.StartMillis != r.Server.StartMillis {
			p.Ended(now, r, Result{AddressReused: true})
			return
		}
		reached++
		ad := advertisedTo(router, s)
		if ad.leavingAt > 0 && now > ad.leavingAt+inFlight {
			t.Errorf("at %v router %d sends to %s, which advertised at %v that it is leaving", now, router, s.ID, ad.leavingAt)
		}
		if now > ad.backoffFrom+inFlight && now < ad.backoffTo {
			if ad.violations++; ad.violations > 2 {
				t.Errorf("at %v router %d sends request %d to %s during its back-off from %v to %v", now, router, ad.violations, s.ID, ad.backoffFrom, ad.backoffTo)
			}
		}
		leaving, backoff := s.leaving, s.backoffUntil[router]-now
		later(now+time.Duration(1+random.IntN(40))*step, func(now time.Duration) {
			if leaving {
				p.MarkLeaving(now, r)
				if ad.leavingAt == 0 {
					ad.leavingAt = now
				}
			}
			if backoff > 0 {
				p.BackOff(now, r, backoff)
				ad.backoffFrom, ad.backoffTo, ad.violations = now, now+backoff, 0
				p.Ended(now, r, Result{Rejected: true})
				return
			}
			p.Began(now, r)
			p.Ended(now, r, Result{})
		})
	}
	decide := func(now time.Duration, router int, v Decision) {
		if v.Run == nil {
			return
		}
		later(now+time.Duration(random.IntN(60))*step, func(now time.Duration) { // scheduling delay before the first byte
			if !pools[router].Accepting(now, v.Run) {
				pools[router].Ended(now, v.Run, Result{CallerGone: true})
				return
			}
			arrive(now+step, router, v.Run)
		})
	}
	id := 0
	for now := step; now < duration; now += step {
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
			for _, v := range p.Dispatch(now) {
				decide(now, router, v)
			}
		}
		s := list[random.IntN(servers)]
		switch random.IntN(60) {
		case 0:
			s.leaving = true
		case 1:
			s.backoffUntil[random.IntN(routers)] = now + time.Duration(1+random.IntN(4))*time.Second
		case 2:
			if s.leaving {
				s.leaving, s.backoffUntil = false, map[int]time.Duration{}
				s.StartMillis++
				publish(now, s)
			}
		case 3:
			publish(now, s) // a new entry, ready, whatever the server advertised
		case 4:
			for _, p := range pools {
				p.RemoveServer(now, s.ID)
			}
			publish(now, s)
		}
	}
	if reached < 1000 {
		t.Errorf("only %d requests reached a server", reached)
	}
}
