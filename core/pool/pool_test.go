package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/fleet"
	"mangolug.org/core/route"
)

const objective = 600 * time.Millisecond

// table has a model service and a plain one.
func testTable() *route.Table {
	return route.NewTable(route.Config{
		Version: 1,
		Routes: []route.Route{
			{Name: "draft", Host: "h", Prefix: "/draft/", Kind: route.KindStream, Objective: objective, Split: []route.Share{{Service: "chat", Weight: 1}}},
			{Name: "desk", Host: "h", Prefix: "/desk/", Objective: objective, Split: []route.Share{{Service: "desk", Weight: 1}}},
		},
		Services: []route.Service{
			{Name: "chat", Model: true, Slots: 64, CacheTokens: 250000, ColdRate: 12, ColdStart: 3 * time.Second},
			{Name: "desk"},
		},
		Limits: route.Limits{TokensPerSecond: 100000},
	})
}

// fill gives a pool with n servers of the model service, in two data centres.
func newPool(n int) *Pool {
	p := &Pool{Self: "r1", DataCentre: "east", Joined: true}
	p.Configure(testTable())
	for i := range n {
		p.Set(0, Server{
			ID: fmt.Sprintf("s%d", i), Service: "chat", Address: fmt.Sprintf("10.0.0.%d:80", i+1),
			DataCentre: []string{"east", "west"}[i%2], Slots: 64,
		})
	}
	return p
}

// draft is a request with a long prompt on a subject.
func chatRequest(now time.Duration, id int, subject uint64) *Ask {
	return &Ask{
		ID: fmt.Sprint(id), Service: "chat", Team: "t", Prompt: 9000, Output: 50,
		Parts:   []Part{{ID: 1, Tokens: 2000}, {ID: subject, Tokens: 4000}, {ID: 1<<32 + uint64(id), Tokens: 3000}},
		Arrived: now, Objective: now + objective, Deadline: now + 5*time.Second,
	}
}

// sent admits a request that must be sent at once.
func mustSend(t *testing.T, p *Pool, now time.Duration, a *Ask) *Run {
	t.Helper()
	v, decided := p.Admit(now, a)
	if !decided || v.Run == nil {
		t.Fatalf("request %s at %v: decided %t, reason %s", a.ID, now, decided, v.Reason)
	}
	return v.Run
}

func TestSubjectsHaveHomes(t *testing.T) {
	p := newPool(9)
	homes := map[string]int{}
	for subject := range uint64(200) {
		first := ""
		for i := range 3 {
			r := mustSend(t, p, 0, chatRequest(0, int(subject)*10+i, subject+2))
			p.Began(0, r)
			p.Ended(0, r, Result{})
			if first == "" {
				first = r.Server.ID
			}
			if r.Server.ID != first || !r.Home {
				t.Fatalf("subject %d went to %s and %s", subject, first, r.Server.ID)
			}
		}
		homes[first]++
	}
	for id, n := range homes {
		if n < 10 || n > 40 {
			t.Errorf("%s is home to %d of 200 subjects", id, n)
		}
	}
}

// A server that leaves takes only its own subjects along.
func TestHomesStayWhenAServerGoes(t *testing.T) {
	p, q := newPool(9), newPool(9)
	q.Remove(0, "s3")
	for subject := range uint64(200) {
		before := mustSend(t, p, 0, chatRequest(0, 1, subject+2)).Server.ID
		after := mustSend(t, q, 0, chatRequest(0, 1, subject+2)).Server.ID
		if before != after && before != "s3" {
			t.Errorf("subject %d moved from %s to %s", subject, before, after)
		}
		p, q = newPool(9), newPool(9)
		q.Remove(0, "s3")
	}
}

func TestNothingForServersThatLeave(t *testing.T) {
	tests := map[string]func(p *Pool){
		"draining": func(p *Pool) {
			p.Set(time.Second, Server{ID: "s0", Service: "chat", Address: "10.0.0.1:80", DataCentre: "east", Draining: true})
		},
		"gone":      func(p *Pool) { p.Remove(time.Second, "s0") },
		"evacuated": func(p *Pool) { p.Evacuate(time.Second, "east", true) },
		"set aside": func(p *Pool) { p.servers["s0"].health.ejectedUntil = time.Minute },
		"other there": func(p *Pool) {
			r := &Run{backend: p.servers["s0"], request: &Ask{}, Server: p.servers["s0"].Server}
			p.Ended(time.Second, r, Result{Another: true})
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(4)
			leave(p)
			for i := range 100 {
				now := time.Second + time.Duration(i)*time.Millisecond
				r := mustSend(t, p, now, chatRequest(now, i, uint64(i)))
				if r.Server.ID == "s0" {
					t.Fatalf("request %d went to %s", i, r.Server.ID)
				}
				p.Ended(now, r, Result{})
			}
		})
	}
}

// Routers that share a cold server stay below its rate together, whatever their number.
func TestColdServersAreWarmedSlowly(t *testing.T) {
	const rate, overrun, slack = 12, 1.5, 5
	for _, n := range []int{1, 2, 9, 88, 470} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(n), 1))
			pools := make([]*Pool, n)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("r%d", i)
			}
			for i := range pools {
				p := &Pool{Self: names[i], DataCentre: "east", Joined: true, Routers: append(append([]string{}, names[:i]...), names[i+1:]...)}
				p.Configure(testTable())
				p.Set(0, Server{ID: "cold", Service: "chat", Address: "10.0.0.1:80", DataCentre: "east", Slots: 64, ColdFor: time.Minute})
				pools[i] = p
			}
			var sends []time.Duration
			for now := time.Duration(0); now < 5*time.Second; now += 2 * time.Millisecond {
				p := pools[random.IntN(n)]
				v, decided := p.Admit(now, chatRequest(now, int(now), 7))
				if decided && v.Run != nil {
					sends = append(sends, now)
					p.Ended(now, v.Run, Result{})
				}
				p.clearQueues()
			}
			for i := range sends {
				inside := 0
				for _, at := range sends[i:] {
					if at < sends[i]+time.Second {
						inside++
					}
				}
				if float64(inside) > rate*overrun+slack {
					t.Fatalf("%d requests in the second from %v", inside, sends[i])
				}
			}
			if n < 20 && len(sends) < 10 {
				t.Errorf("only %d requests in 5 s: the server is not warmed", len(sends))
			}
		})
	}
}

// queuesOut forgets all that waits.
func (p *Pool) clearQueues() {
	for _, v := range p.services {
		v.queue.requests = nil
	}
}

// A request that can't be in time any more is refused at once, and never while its server is half empty.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		requests, prefill int64 // at the only server
		want              fleet.Reason
		waits             bool
	}{
		"room":                       {requests: 40, prefill: 1000, want: fleet.ReasonGranted},
		"busy, in time later":        {requests: 40, prefill: 13000, waits: true},
		"too busy":                   {requests: 40, prefill: 60000, want: fleet.ReasonWouldMissDeadline},
		"too busy, half of it free":  {requests: 20, prefill: 60000, want: fleet.ReasonGranted},
		"all slots taken, but early": {requests: 64, prefill: 0, waits: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(1)
			p.servers["s0"].localUsage = Usage{Requests: c.requests, Prefill: c.prefill}
			v, decided := p.Admit(time.Second, chatRequest(time.Second, 1, 7))
			if decided == c.waits {
				t.Fatalf("decided %t, reason %s", decided, v.Reason)
			}
			if c.waits {
				return
			}
			if v.Reason != c.want {
				t.Errorf("reason %s, want %s", v.Reason, c.want)
			}
			if v.Run == nil && v.RetryAfter < minRetryAfter {
				t.Errorf("advice to come back after %v", v.RetryAfter)
			}
		})
	}
}

// A waiting request is sent when room comes, or refused when its time is over, but not kept.
func TestWaitingEnds(t *testing.T) {
	p := newPool(1)
	p.servers["s0"].localUsage = Usage{Requests: 64}
	a := chatRequest(0, 1, 7)
	if _, decided := p.Admit(0, a); decided {
		t.Fatal("decided although no slot is free")
	}
	if v := p.Turn(10 * time.Millisecond); len(v) != 0 {
		t.Fatalf("decided early: %s", v[0].Reason)
	}
	p.servers["s0"].localUsage = Usage{Requests: 10}
	v := p.Turn(20 * time.Millisecond)
	if len(v) != 1 || v[0].Run == nil || v[0].Waited != 20*time.Millisecond {
		t.Fatalf("verdicts %+v", v)
	}
	p.servers["s0"].localUsage = Usage{Requests: 64}
	late := chatRequest(0, 2, 7)
	if _, decided := p.Admit(0, late); decided {
		t.Fatal("decided although no slot is free")
	}
	if v := p.Turn(objective); len(v) != 1 || v[0].Reason != fleet.ReasonWouldMissDeadline || p.Waiting() != 0 {
		t.Fatalf("verdicts %+v, waiting %d", v, p.Waiting())
	}
}

func TestFailingServersAreSetAside(t *testing.T) {
	tests := map[string]struct {
		result func(i int) Result
		aside  bool
	}{
		"always well":          {result: func(int) Result { return Result{} }},
		"fails half the time":  {result: func(i int) Result { return Result{Failed: i%2 == 0} }, aside: true},
		"sheds all":            {result: func(int) Result { return Result{Rejected: true} }, aside: true},
		"can't be reached":     {result: func(int) Result { return Result{Lost: true} }, aside: true},
		"callers leave":        {result: func(int) Result { return Result{Failed: true, Left: true} }},
		"one of eight fails":   {result: func(i int) Result { return Result{Failed: i%8 == 7} }},
		"nothing but one loss": {result: func(i int) Result { return Result{Lost: i == 0} }, aside: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(2)
			aside := false
			for i := range 40 {
				now := time.Duration(i) * 10 * time.Millisecond
				b := p.servers["s0"]
				p.Ended(now, &Run{backend: b, request: &Ask{}, Server: b.Server}, c.result(i))
				aside = aside || b.health.ejected(now)
			}
			if aside != c.aside {
				t.Errorf("set aside %t, want %t", aside, c.aside)
			}
		})
	}
}

// A service whose servers all fail alike keeps them: setting them aside would leave none.
func TestFailuresOfAWholeServiceAreNoReason(t *testing.T) {
	p := newPool(2)
	random := rand.New(rand.NewPCG(3, 3))
	asides := 0
	for i := range 2000 {
		now := time.Duration(i) * 20 * time.Millisecond
		b := p.servers[[]string{"s0", "s1"}[i%2]]
		p.Ended(now, &Run{backend: b, request: &Ask{}, Server: b.Server}, Result{Failed: random.Float64() < 0.15})
		if b.health.ejected(now) {
			asides++
		}
	}
	if asides > 200 {
		t.Errorf("set aside at %d of 2000 moments", asides)
	}
}

func TestBudgetBoundsRepeats(t *testing.T) {
	const routers, ratio, slack = 9, 0.2, 58
	var b [routers]Budgets
	for i := range b {
		b[i] = Budgets{Ratio: ratio, Slack: slack}
	}
	var desk, chat int
	for i := range 10000 {
		now := time.Duration(i) * time.Millisecond
		router := &b[i%routers]
		router.First(now, "desk")
		if router.Take(now, "desk", routers) {
			desk++
		}
		if router.Take(now, "chat", routers) {
			chat++
		}
	}
	if most := 10000*ratio + slack; float64(desk) > most || float64(desk) < most/2 {
		t.Errorf("%d repeats of 10000 requests in one window over all routers, allowed %.0f", desk, most)
	}
	if chat > slack || chat == 0 {
		t.Errorf("%d repeats to a service without requests, allowed %d", chat, slack)
	}
	if !b[0].Take(time.Hour, "chat", routers) {
		t.Error("nothing left of the slack an hour later")
	}
}

// A server that is told at the address of another takes its place at once.
func TestAddressOfAnother(t *testing.T) {
	p := newPool(2)
	p.Set(time.Second, Server{ID: "new", Service: "desk", Address: "10.0.0.1:80", DataCentre: "east", Slots: 6})
	for i := range 20 {
		if r := mustSend(t, p, time.Second, chatRequest(time.Second, i, uint64(i))); r.Server.ID != "s1" {
			t.Fatalf("request %d went to %s, whose address another has", i, r.Server.ID)
		}
		p.clearUsage()
	}
}

// own forgets what is in use.
func (p *Pool) clearUsage() {
	for _, b := range p.servers {
		b.localUsage = Usage{}
	}
}

func TestSharesAreMaxMin(t *testing.T) {
	tests := map[string]struct {
		asked      map[string]float64
		throughput float64
		want       float64
	}{
		"all fits":             {asked: map[string]float64{"a": 10, "b": 20}, throughput: 40},
		"one is far above":     {asked: map[string]float64{"a": 10, "b": 20, "c": 100}, throughput: 60, want: 30},
		"two share the rest":   {asked: map[string]float64{"a": 10, "b": 50, "c": 100}, throughput: 60, want: 25},
		"all are above":        {asked: map[string]float64{"a": 50, "b": 50, "c": 100}, throughput: 60, want: 20},
		"throughput not known": {asked: map[string]float64{"a": 50}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var s shares
			for team, asked := range c.asked {
				s.team(team).localDemand = rate{value: asked}
			}
			if c.throughput > 0 {
				s.updateLevel(0, c.throughput)
			}
			if s.level != c.want {
				t.Errorf("level %v, want %v", s.level, c.want)
			}
		})
	}
}

// A team within its share is never called beyond it; one far above is let through to about its share.
func TestBeyondShare(t *testing.T) {
	var s shares
	const throughput = 100000
	const settled = 5 * shareWindow // rates are known by then
	within, beyond, large := 0, 0, 0
	asks := func(name string, tokens float64, now time.Duration) bool {
		is, _ := s.admit(now, name, tokens, throughput)
		return is
	}
	for i := range 20000 {
		now := time.Duration(i) * time.Millisecond
		if i%20 == 0 && asks("small", 500, now) {
			within++
		}
		if asks("large", 300, now) && now > settled {
			beyond++
		}
		if now > settled {
			large++
		}
	}
	if within > 0 {
		t.Errorf("%d requests of a team within its share were called beyond it", within)
	}
	if part := float64(large-beyond) / float64(large); part < 0.2 || part > 0.4 {
		t.Errorf("%.2f of the large team's requests are within its share, want about 0.25 to 0.3", part)
	}
}

// However many routers a team asks, they let it have about its share from the first second on.
func TestShareIsDividedAmongRouters(t *testing.T) {
	const (
		routers    = 88
		throughput = 100000.0 // tokens a second
		others     = 20000.0  // that the other teams ask for
		demand     = 800000.0 // that the large team asks for
		tokens     = 400.0    // of one request
		requests   = 22       // of the large team at one router in a second
	)
	granted := 0.0
	for range routers {
		s := shares{teams: map[string]*teamShare{"small": {peerDemand: others}, "large": {peerDemand: (throughput - others) / 2}}}
		s.admit(0, "large", tokens, throughput) // it asks for half of its share until now
		for i := range requests {
			s.team("large").peerDemand = demand * (routers - 1) / routers
			beyond, _ := s.admit(levelPeriod+time.Duration(i)*time.Second/requests, "large", tokens, throughput)
			if !beyond {
				granted += tokens
			}
		}
	}
	if share := throughput - others; granted > share*(1+shareBurst) {
		t.Errorf("%.0f tokens are within the share in the first second, which is %.0f", granted, share)
	}
}

// After any events nothing is left in use, and nothing went to servers that may not be used.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 9))
		p := newPool(6)
		var runs []*Run
		take := func(v Verdict, now time.Duration) {
			if v.Run == nil {
				return
			}
			b := p.servers[v.Run.Server.ID]
			if b == nil || b.gone || b.Draining || p.evacuated[b.DataCentre] {
				t.Fatalf("seed %d: sent to %s at %v, which may not be used", seed, v.Run.Server.ID, now)
			}
			runs = append(runs, v.Run)
		}
		for step := range 3000 {
			now := time.Duration(step) * 5 * time.Millisecond
			id := fmt.Sprintf("s%d", random.IntN(6))
			switch random.IntN(24) {
			case 0:
				p.Remove(now, id)
			case 1, 2:
				p.Set(now, Server{ID: id, Service: "chat", Address: "10.0.0.1:80", DataCentre: "east", Slots: 64, Draining: random.IntN(4) == 0, ColdFor: time.Duration(random.IntN(2)) * time.Second, Born: int64(random.IntN(3))})
			case 3:
				p.Evacuate(now, []string{"east", "west"}[random.IntN(2)], random.IntN(2) == 0)
			case 4:
				p.SourceLost(now)
			case 5:
				p.SourceBack(now)
			case 6, 7, 8, 9, 10, 11:
				if v, decided := p.Admit(now, chatRequest(now, step, uint64(random.IntN(30)))); decided {
					take(v, now)
				}
			case 12, 13, 14:
				for _, v := range p.Turn(now) {
					take(v, now)
				}
			default:
				if len(runs) > 0 {
					i := random.IntN(len(runs))
					p.Began(now, runs[i])
					if random.IntN(2) == 0 {
						p.Ended(now, runs[i], Result{Failed: random.IntN(5) == 0, Left: random.IntN(5) == 0})
						runs = append(runs[:i], runs[i+1:]...)
					}
				}
			}
		}
		for _, r := range runs {
			p.Ended(time.Minute, r, Result{})
		}
		for id, b := range p.servers {
			if b.localUsage != (Usage{}) {
				t.Fatalf("seed %d: %s is left with %+v", seed, id, b.localUsage)
			}
		}
		if p.Turn(time.Hour); p.Waiting() != 0 {
			t.Fatalf("seed %d: %d requests wait an hour later", seed, p.Waiting())
		}
	}
}

// A team beyond its share is served while servers have room, and refused soon when they have none.
func TestBeyondShareUsesWhatIsFree(t *testing.T) {
	tests := map[string]struct {
		prefill int64 // at the only server
		want    fleet.Reason
	}{
		"idle":       {want: fleet.ReasonGranted},
		"a bit busy": {prefill: 1500, want: fleet.ReasonGranted},
		"busy":       {prefill: 12000, want: fleet.ReasonTeamShare},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(1)
			p.shares.team("t").peerDemand = 1e9
			p.shares.team("u").peerDemand = 1e9
			p.servers["s0"].localUsage = Usage{Requests: 40, Prefill: c.prefill}
			v, decided := p.Admit(time.Second, chatRequest(time.Second, 1, 7))
			if !decided {
				for _, w := range p.Turn(time.Second + time.Duration(overShareWait*float64(objective))) {
					v, decided = w, true
				}
			}
			if !decided || v.Reason != c.want {
				t.Errorf("decided %t, reason %s, want %s", decided, v.Reason, c.want)
			}
		})
	}
}

// Of two teams beyond their share, what is free goes to the one that got less.
func TestFreeCapacityGoesToTheLeastServed(t *testing.T) {
	most := Usage{Requests: 40}                  // of 64 slots
	little := Usage{Requests: 20, Prefill: 1000} // under half of the slots, and some prompts to be read
	for name, c := range map[string]struct {
		mine, other float64 // tokens a second that the teams get
		asks        float64 // tokens a second that the other asks for
		use         Usage   // of the only server
		want        fleet.Reason
	}{
		"least served":                      {mine: 100000, other: 300000, asks: 1e9, use: most, want: fleet.ReasonGranted},
		"about the same":                    {mine: 130000, other: 100000, asks: 1e9, use: most, want: fleet.ReasonGranted},
		"far better":                        {mine: 300000, other: 100000, asks: 1e9, use: most, want: fleet.ReasonTeamShare},
		"far better, half empty server":     {mine: 300000, other: 100000, asks: 1e9, use: little, want: fleet.ReasonTeamShare},
		"the other gets all that it wants":  {mine: 300000, other: 100000, asks: 105000, use: most, want: fleet.ReasonGranted},
		"the other gets most that it wants": {mine: 300000, other: 100000, asks: 150000, use: most, want: fleet.ReasonGranted},
		"the only beyond":                   {mine: 300000, other: -1, use: most, want: fleet.ReasonGranted},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(1)
			p.servers["s0"].localUsage = c.use
			mine, other := p.shares.team("t"), p.shares.team("u")
			mine.peerDemand, mine.peerServed = 1e9, c.mine
			if c.other >= 0 {
				other.peerDemand, other.peerServed = c.asks, c.other
			}
			v, decided := p.Admit(time.Second, chatRequest(time.Second, 1, 7))
			for _, w := range p.Turn(time.Second + objective) {
				v, decided = w, true
			}
			if !decided || v.Reason != c.want {
				t.Errorf("decided %t, reason %s, want %s", decided, v.Reason, c.want)
			}
		})
	}
}

// TestTurnedAwayCountsAsAsked guards against a team that is served badly because its routers turn it away unread: what it
// asked for counts all the same, so that a team that gets far more leaves it what is free.
func TestTurnedAwayCountsAsAsked(t *testing.T) {
	for name, c := range map[string]struct {
		turnedAway int
		want       fleet.Reason
	}{
		"none":      {want: fleet.ReasonGranted},
		"a hundred": {turnedAway: 100, want: fleet.ReasonTeamShare},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(1)
			p.servers["s0"].localUsage = Usage{Requests: 40}
			mine, other := p.shares.team("t"), p.shares.team("u")
			mine.peerDemand, mine.peerServed = 1e9, 300000
			other.localDemand, other.peerServed = rate{value: 100000, at: time.Second}, 100000
			for i := range c.turnedAway {
				a := chatRequest(time.Second, 100+i, 9)
				a.Team = "u"
				p.TurnedAway(time.Second, a)
			}
			v, decided := p.Admit(time.Second, chatRequest(time.Second, 1, 7))
			for _, w := range p.Turn(time.Second + objective) {
				v, decided = w, true
			}
			if !decided || v.Reason != c.want {
				t.Errorf("decided %t, reason %s, want %s", decided, v.Reason, c.want)
			}
		})
	}
}

// Teams that ask only other routers have their part of the throughput too.
func TestTeamsElsewhereCount(t *testing.T) {
	p := newPool(1)
	mine := p.shares.team("t")
	mine.localDemand = rate{value: 60000}
	p.Others(0, digest.Sum{Teams: map[uint32]digest.Rates{1: {Asked: 40000}, 2: {Asked: 300000}}}, true, nil)
	p.shares.updateLevel(0, p.throughput())
	if p.shares.level != 100000.0/3 {
		t.Errorf("level %v of three teams that all ask for more", p.shares.level)
	}
}

// Teams that ask no more are forgotten.
func TestIdleTeamsAreForgotten(t *testing.T) {
	var s shares
	for i := range 1000 {
		s.admit(0, fmt.Sprint("team", i), 500, 100000)
	}
	s.admit(time.Hour, "new", 500, 100000)
	s.updateLevel(time.Hour, 100000)
	if len(s.teams) != 1 {
		t.Errorf("%d teams are remembered", len(s.teams))
	}
}

// Many routers with the same old news of loads don't all send to the plain server that looked emptiest.
func TestPlainRequestsAreSpread(t *testing.T) {
	const requests = 400
	counts := map[string]int{}
	for i := range requests {
		p := &Pool{Self: fmt.Sprint("r", i), DataCentre: "north", Joined: true}
		p.Configure(testTable())
		others := digest.Sum{Servers: map[uint32]digest.Use{}}
		for k := range int64(4) {
			id := fmt.Sprint("d", k)
			p.Set(0, Server{ID: id, Service: "desk", Address: fmt.Sprintf("10.0.1.%d:80", k), DataCentre: "west", Slots: 6})
			others.Servers[nameID(id)] = digest.Use{Requests: k}
		}
		p.Others(0, others, true, []string{"r"})
		counts[mustSend(t, p, 0, &Ask{ID: "a", Service: "desk", Objective: objective, Deadline: time.Second}).Server.ID]++
	}
	t.Log(counts)
	for id, n := range counts {
		if n > requests/2 {
			t.Errorf("%s gets %d of %d", id, n, requests)
		}
	}
	if counts["d0"] <= counts["d3"] {
		t.Errorf("the emptiest gets %d, the fullest %d", counts["d0"], counts["d3"])
	}
}

// Where all of many servers are cold, a router finds the few that it may send to.
func TestColdFleetIsUsed(t *testing.T) {
	const routers = 88
	p := newPool(140)
	for i := range routers - 1 {
		p.Routers = append(p.Routers, fmt.Sprint("other", i))
	}
	for id := range p.servers {
		p.Cold(0, id, time.Minute)
	}
	sent := 0
	for i := range 4 {
		now := time.Duration(i) * 100 * time.Millisecond
		if v, decided := p.Admit(now, chatRequest(now, i, uint64(i))); decided && v.Run != nil {
			sent++
		}
	}
	if sent < 3 { // of the 140 servers some six take work from one of 88 routers
		t.Errorf("%d of 4 requests were sent at once", sent)
	}
}
