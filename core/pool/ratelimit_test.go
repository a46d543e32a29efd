package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/fleet"
	"mangolug.org/core/route"
)

// limitedFleet is some routers before servers that name a rate limit in each response.
type limitedFleet struct {
	t       *testing.T
	now     time.Duration
	routers []*Pool
	peers   [][]string // of each router
	sums    []digest.Sum
	sent    map[string][]time.Duration // when requests were sent, by server
	refused int
	limit   func(now time.Duration) float64
	deaf    bool // routers don't hear each other's news of limits
}

func newLimitedFleet(t *testing.T, routers, servers int, limit func(now time.Duration) float64) *limitedFleet {
	f := &limitedFleet{t: t, now: 5 * time.Second, sent: make(map[string][]time.Duration), limit: limit, sums: make([]digest.Sum, routers)}
	table := route.NewTable(route.Config{
		Services: []route.Service{{Name: "chat", Model: true, Slots: 64}},
		Routes:   []route.Route{{Name: "c", Kind: route.KindStream, Objective: time.Second, Split: []route.WeightedService{{Service: "chat", Weight: 1}}}},
	})
	for i := range routers {
		p := &Pool{Self: fmt.Sprint("r", i), DataCentre: "d"}
		p.Configure(table)
		for k := range servers {
			p.SetServer(f.now, Server{ID: fmt.Sprint("s", k), Service: "chat", Address: fmt.Sprintf("10.0.0.%d:80", k+1), DataCentre: "d", Slots: 64, StartMillis: 1})
		}
		f.routers = append(f.routers, p)
		var peers []string
		for k := range routers {
			if k != i {
				peers = append(peers, fmt.Sprint("r", k))
			}
		}
		f.peers = append(f.peers, peers)
	}
	f.exchange()
	return f
}

// exchange gives each router the others' news, and their loads as they were one exchange before.
func (f *limitedFleet) exchange() {
	var total digest.Sum
	for _, s := range f.sums {
		total.Add(s)
	}
	var news []digest.RateLimit
	for i, p := range f.routers {
		var others digest.Sum
		others.Add(total)
		others.Subtract(f.sums[i])
		p.SetPeers(f.now, others, true, f.peers[i])
		news = append(news, p.RateLimits(f.now)...)
	}
	for i, p := range f.routers {
		f.sums[i] = p.Summary(f.now)
		if !f.deaf {
			p.MergeRateLimits(f.now, news)
		}
	}
}

// ask lets a router decide on a new request, which leaves if it has to wait.
func (f *limitedFleet) ask(router int) {
	p := f.routers[router]
	a := &Request{
		Service: "chat", Team: fmt.Sprint("t", router%4), PromptTokens: 10, OutputTokens: 1, Arrived: f.now, Objective: f.now + time.Second, Deadline: f.now + 4*time.Second,
		Segments: []Segment{{ID: 1, Tokens: 5}, {ID: uint64(f.now), Tokens: 5}},
	}
	d, ok := p.Admit(f.now, a)
	switch {
	case !ok:
		p.Cancel(a)
	case d.Run == nil:
		f.refused++
		if d.Reason == fleet.ReasonServersLimited && (d.RetryAfter <= 0 || d.RetryAfter > time.Minute) {
			f.t.Errorf("Retry-After %v", d.RetryAfter)
		}
	default:
		id := d.Run.Server.ID
		f.sent[id] = append(f.sent[id], f.now)
		p.ObserveRateLimit(f.now, d.Run, f.limit(f.now))
		p.Began(f.now, d.Run)
		p.Ended(f.now, d.Run, Result{})
	}
}

// run lets requests arrive for a while: each router gets one in 200 ms, and the first one many more.
func (f *limitedFleet) run(d time.Duration) {
	for until := f.now + d; f.now < until; f.now += 10 * time.Millisecond {
		for range 3 {
			f.ask(0)
		}
		for i := range f.routers {
			if (int(f.now/(10*time.Millisecond))+7*i)%20 == 0 {
				f.ask(i)
			}
		}
		if f.now%(100*time.Millisecond) == 0 {
			f.exchange()
		}
	}
}

// most returns the most requests that a server got within a window after a time.
func (f *limitedFleet) most(server string, from, window time.Duration) int {
	best := 0
	times := f.sent[server]
	for i, at := range times {
		if at < from {
			continue
		}
		n, _ := slices.BinarySearch(times[i:], at+window)
		best = max(best, n)
	}
	return best
}

// TestRateLimitHoldsOverAllRouters guards against routers that each keep a server's rate limit for themselves (LIMIT), and against a limit that leaves
// servers idle.
func TestRateLimitHoldsOverAllRouters(t *testing.T) {
	for name, d := range map[string]struct {
		routers int
		limit   float64
		least   float64 // fraction of the limit that is used at least
		deaf    bool
	}{
		"one router":                          {routers: 1, limit: 6, least: 0.8},
		"nine routers":                        {routers: 9, limit: 6, least: 0.6},
		"nine routers, one a second":          {routers: 9, limit: 1, least: 0.4},
		"nine routers, many a second":         {routers: 9, limit: 20, least: 0.7},
		"83 routers":                          {routers: 83, limit: 6, least: 0.6},
		"83 routers, one a second":            {routers: 83, limit: 1, least: 0.4},
		"295 routers, one a second":           {routers: 295, limit: 1, least: 0.4},
		"295 routers that hear of it slowly":  {routers: 295, limit: 1, least: 0.4, deaf: true},
		"nine routers that hear of it slowly": {routers: 9, limit: 6, least: 0.6, deaf: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLimitedFleet(t, d.routers, 3, func(time.Duration) float64 { return d.limit })
			f.deaf = d.deaf
			begin := f.now
			f.run(20 * time.Second)
			const contact, window = 3 * time.Second, 4 * time.Second
			allowed := int(1.5*d.limit*window.Seconds()) + 5
			for id, times := range f.sent {
				if n := f.most(id, begin+contact, window); n > allowed {
					t.Errorf("server %s got %d requests in %v, want %d at most", id, n, window, allowed)
				}
				n := 0
				for _, at := range times {
					if at >= begin+contact {
						n++
					}
				}
				if used := float64(n) / (20 - contact.Seconds()) / d.limit; used < d.least {
					t.Errorf("server %s: %.2f of its limit is used, want %.2f at least", id, used, d.least)
				}
			}
			if f.refused == 0 && d.routers > 1 {
				t.Error("no request was refused at once")
			}
		})
	}
}

// TestRateLimitChanges guards against a limit that is not lowered, or that outlives its end.
func TestRateLimitChanges(t *testing.T) {
	for name, d := range map[string]struct {
		after    func(time.Duration) float64 // the limit from the tenth second on
		from, to int                         // requests of the busiest server in four seconds, from three seconds later on
	}{
		"falls":  {func(time.Duration) float64 { return 1 }, 2, 11},
		"rises":  {func(time.Duration) float64 { return 20 }, 50, 125},
		"ends":   {func(time.Duration) float64 { return 0 }, 200, 100000},
		"wavers": {func(now time.Duration) float64 { return 2 + float64(now/time.Second%2) }, 4, 20},
	} {
		t.Run(name, func(t *testing.T) {
			change := 15 * time.Second
			f := newLimitedFleet(t, 9, 3, func(now time.Duration) float64 {
				if now < change {
					return 6
				}
				return d.after(now)
			})
			f.run(20 * time.Second)
			best := 0
			for id := range f.sent {
				n := f.most(id, change+3*time.Second, 4*time.Second)
				best = max(best, n)
				if n > d.to {
					t.Errorf("server %s got %d requests in four seconds, want %d at most", id, n, d.to)
				}
			}
			if best < d.from {
				t.Errorf("no server got more than %d requests in four seconds, want %d at least", best, d.from)
			}
		})
	}
}

// TestRouterWithoutAShareRefusesAtOnce guards against requests that wait at a router that may send to none of the limited servers.
func TestRouterWithoutAShareRefusesAtOnce(t *testing.T) {
	f := newLimitedFleet(t, 40, 1, func(time.Duration) float64 { return 1 })
	f.run(time.Second)
	refused := 0
	for _, p := range f.routers {
		if rate, limited := p.sendRate(f.now, p.servers["s0"]); !limited || rate > 0 {
			continue
		}
		d, ok := p.Admit(f.now, &Request{Service: "chat", PromptTokens: 10, Arrived: f.now, Objective: f.now + time.Second, Deadline: f.now + 4*time.Second})
		if !ok || d.Reason != fleet.ReasonServersLimited || d.RetryAfter <= 0 {
			t.Fatalf("decided %t, %v, Retry-After %v, want a refusal for the limit", ok, d.Reason, d.RetryAfter)
		}
		refused++
	}
	if want := len(f.routers) - minLimitSenders - limitSendersPerRate; refused != want {
		t.Errorf("%d routers have no share, want %d", refused, want)
	}
}

// TestOldStatementsOfLimits guards against an old statement, on a late response or on a long path, that replaces a newer one.
func TestOldStatementsOfLimits(t *testing.T) {
	f := newLimitedFleet(t, 2, 1, func(time.Duration) float64 { return 0 })
	p := f.routers[0]
	send := func() *Run {
		d, ok := p.Admit(f.now, &Request{Service: "chat", PromptTokens: 1, Arrived: f.now, Objective: f.now + time.Second, Deadline: f.now + time.Second})
		if !ok || d.Run == nil {
			t.Fatal("not sent", d.Reason)
		}
		return d.Run
	}
	early, b := send(), p.servers["s0"]
	f.now += 100 * time.Millisecond
	p.ObserveRateLimit(f.now, send(), 5)
	p.ObserveRateLimit(f.now, early, 0)
	if got := b.advertised.limit(f.now); got != 5 {
		t.Errorf("limit %v after a response to a request that was sent before the limit was named, want 5", got)
	}
	p.MergeRateLimits(f.now, []digest.RateLimit{{Server: b.incarnationID, Rate: 9, Age: time.Second}, {Server: b.incarnationID + 1, Rate: 1}})
	if got := b.advertised.limit(f.now); got != 5 {
		t.Errorf("limit %v after older news, want 5", got)
	}
	f.now += rateLimitTTL + time.Second
	if got := b.advertised.limit(f.now); got != 0 {
		t.Errorf("limit %v long after the last statement, want none", got)
	}
}

// TestTurnsOfLimitedServersGoToLargerRequests guards against small requests that take the few turns of servers that limit the number of requests, while
// larger ones are refused for want of a server.
func TestTurnsOfLimitedServersGoToLargerRequests(t *testing.T) {
	f := newLimitedFleet(t, 1, 2, func(time.Duration) float64 { return 0 })
	p := f.routers[0]
	request := func(tokens int64) *Request {
		f.now++
		return &Request{
			Service: "chat", PromptTokens: tokens, Arrived: f.now, Objective: f.now + time.Second, Deadline: f.now + 4*time.Second,
			Segments: []Segment{{ID: uint64(f.now), Tokens: tokens}},
		}
	}
	send := func(a *Request) *Run {
		d, ok := p.Admit(f.now, a)
		if !ok || d.Run == nil {
			t.Fatalf("a request of %d tokens was not sent: %v", a.PromptTokens, d.Reason)
		}
		return d.Run
	}
	for i := range 100 { // until the mean is known
		r := send(request([]int64{100, 5000}[i%2]))
		p.Began(f.now, r)
		p.Ended(f.now, r, Result{})
	}
	limited := p.servers["s1"]
	p.setRateLimit(f.now, limited, 2, f.now)
	f.now += 600 * time.Millisecond
	for range 5 {
		r := send(request(100))
		if r.Server.ID != "s0" {
			t.Fatal("a small request took the turn of the limited server")
		}
		p.Began(f.now, r)
	}
	busy := send(request(5000))
	for busy.Server.ID != "s1" {
		busy = send(request(5000))
	}
	p.servers["s0"].localUsage.Prefill = 200000 // takes longer than a request may wait
	a := request(5000)
	if d, ok := p.Admit(f.now, a); ok {
		t.Fatalf("a large request was not queued for the next turn: %v", d.Reason)
	}
	f.now += interval(2 * rateLimitMargin)
	if got := p.Dispatch(f.now); len(got) != 1 || got[0].Run == nil || got[0].Run.Server.ID != "s1" {
		t.Errorf("decisions %+v at the next turn, want the large request to be sent to s1", got)
	}
}
