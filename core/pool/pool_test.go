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

// testTable returns a table with a model service and a plain one.
func testTable() *route.Table {
	return route.NewTable(route.Config{
		Version: 1,
		Routes: []route.Route{
			{Name: "draft", Host: "h", Prefix: "/draft/", Kind: route.KindStream, Objective: objective, Split: []route.WeightedService{{Service: "chat", Weight: 1}}},
			{Name: "desk", Host: "h", Prefix: "/desk/", Objective: objective, Split: []route.WeightedService{{Service: "desk", Weight: 1}}},
		},
		Services: []route.Service{
			{Name: "chat", Model: true, Slots: 64, CacheTokens: 250000, ColdRate: 12, ColdStart: 3 * time.Second},
			{Name: "desk"},
		},
		Limits: route.Limits{TokensPerSecond: 100000},
	})
}

// newPool returns a pool with n servers of the model service, in two data centres.
func newPool(n int) *Pool {
	p := &Pool{Self: "r1", DataCentre: "east", Joined: true}
	p.Configure(testTable())
	for i := range n {
		p.SetServer(0, Server{
			ID: fmt.Sprintf("s%d", i), Service: "chat", Address: fmt.Sprintf("10.0.0.%d:80", i+1),
			DataCentre: []string{"east", "west"}[i%2], Slots: 64,
		})
	}
	return p
}

// chatRequest returns a request with a long prompt and the given affinity key.
func chatRequest(now time.Duration, id int, key uint64) *Request {
	return &Request{
		ID: fmt.Sprint(id), Service: "chat", Team: "t", PromptTokens: 9000, OutputTokens: 50,
		Segments: []Segment{{ID: 1, Tokens: 2000}, {ID: key, Tokens: 4000}, {ID: 1<<32 + uint64(id), Tokens: 3000}},
		Arrived:  now, Objective: now + objective, Deadline: now + 5*time.Second,
	}
}

// mustSend admits a request that must be sent at once, and returns its run.
func mustSend(t *testing.T, p *Pool, now time.Duration, a *Request) *Run {
	t.Helper()
	v, decided := p.Admit(now, a)
	if !decided || v.Run == nil {
		t.Fatalf("request %s at %v: decided %t, reason %s", a.ID, now, decided, v.Reason)
	}
	return v.Run
}

func TestAffinityKeysHaveHomes(t *testing.T) {
	p := newPool(9)
	homes := map[string]int{}
	for key := range uint64(200) {
		first := ""
		for i := range 3 {
			r := mustSend(t, p, 0, chatRequest(0, int(key)*10+i, key+2))
			p.Began(0, r)
			p.Ended(0, r, Result{})
			if first == "" {
				first = r.Server.ID
			}
			if r.Server.ID != first || !r.Home {
				t.Fatalf("key %d went to %s and %s", key, first, r.Server.ID)
			}
		}
		homes[first]++
	}
	for id, n := range homes {
		if n < 10 || n > 40 {
			t.Errorf("%s is home to %d of 200 keys", id, n)
		}
	}
}

// TestHomesStayWhenAServerGoes checks that the removal of a server moves only the affinity keys homed there.
func TestHomesStayWhenAServerGoes(t *testing.T) {
	p, q := newPool(9), newPool(9)
	q.RemoveServer(0, "s3")
	for key := range uint64(200) {
		before := mustSend(t, p, 0, chatRequest(0, 1, key+2)).Server.ID
		after := mustSend(t, q, 0, chatRequest(0, 1, key+2)).Server.ID
		if before != after && before != "s3" {
			t.Errorf("key %d moved from %s to %s", key, before, after)
		}
		p, q = newPool(9), newPool(9)
		q.RemoveServer(0, "s3")
	}
}

func TestNothingForServersThatLeave(t *testing.T) {
	tests := map[string]func(p *Pool){
		"draining": func(p *Pool) {
			p.SetServer(time.Second, Server{ID: "s0", Service: "chat", Address: "10.0.0.1:80", DataCentre: "east", Draining: true})
		},
		"gone":      func(p *Pool) { p.RemoveServer(time.Second, "s0") },
		"evacuated": func(p *Pool) { p.Evacuate(time.Second, "east", true) },
		"ejected":   func(p *Pool) { p.servers["s0"].health.ejectedUntil = time.Minute },
		"address reused": func(p *Pool) {
			r := &Run{backend: p.servers["s0"], request: &Request{}, Server: p.servers["s0"].Server}
			p.Ended(time.Second, r, Result{AddressReused: true})
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

// TestColdServersAreWarmedSlowly checks that routers together stay below a cold server's rate, whatever their number.
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
				p := &Pool{Self: names[i], DataCentre: "east", Joined: true, Peers: append(append([]string{}, names[:i]...), names[i+1:]...)}
				p.Configure(testTable())
				p.SetServer(0, Server{ID: "cold", Service: "chat", Address: "10.0.0.1:80", DataCentre: "east", Slots: 64, ColdRemaining: time.Minute})
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

// clearQueues removes all queued requests.
func (p *Pool) clearQueues() {
	for _, v := range p.services {
		v.queue.requests = nil
	}
}

// TestRefusals checks that a request that can no longer meet its objective is rejected at once, but never while its server
// is less than half full.
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
				t.Errorf("Retry-After %v is below the minimum", v.RetryAfter)
			}
		})
	}
}

// TestWaitingEnds checks that a queued request is sent when there is room, or rejected when its time is over, but not kept.
func TestWaitingEnds(t *testing.T) {
	p := newPool(1)
	p.servers["s0"].localUsage = Usage{Requests: 64}
	a := chatRequest(0, 1, 7)
	if _, decided := p.Admit(0, a); decided {
		t.Fatal("decided although no slot is free")
	}
	if v := p.Dispatch(10 * time.Millisecond); len(v) != 0 {
		t.Fatalf("decided early: %s", v[0].Reason)
	}
	p.servers["s0"].localUsage = Usage{Requests: 10}
	v := p.Dispatch(20 * time.Millisecond)
	if len(v) != 1 || v[0].Run == nil || v[0].Waited != 20*time.Millisecond {
		t.Fatalf("decisions %+v", v)
	}
	p.servers["s0"].localUsage = Usage{Requests: 64}
	late := chatRequest(0, 2, 7)
	if _, decided := p.Admit(0, late); decided {
		t.Fatal("decided although no slot is free")
	}
	if v := p.Dispatch(objective); len(v) != 1 || v[0].Reason != fleet.ReasonWouldMissDeadline || p.Waiting() != 0 {
		t.Fatalf("decisions %+v, waiting %d", v, p.Waiting())
	}
}

func TestFailingServersAreEjected(t *testing.T) {
	tests := map[string]struct {
		result  func(i int) Result
		ejected bool
	}{
		"always well":          {result: func(int) Result { return Result{} }},
		"fails half the time":  {result: func(i int) Result { return Result{Failed: i%2 == 0} }, ejected: true},
		"sheds all":            {result: func(int) Result { return Result{Rejected: true} }, ejected: true},
		"can't be reached":     {result: func(int) Result { return Result{ConnectFailed: true} }, ejected: true},
		"callers leave":        {result: func(int) Result { return Result{Failed: true, CallerGone: true} }},
		"one of eight fails":   {result: func(i int) Result { return Result{Failed: i%8 == 7} }},
		"nothing but one loss": {result: func(i int) Result { return Result{ConnectFailed: i == 0} }, ejected: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(2)
			ejected := false
			for i := range 40 {
				now := time.Duration(i) * 10 * time.Millisecond
				b := p.servers["s0"]
				p.Ended(now, &Run{backend: b, request: &Request{}, Server: b.Server}, c.result(i))
				ejected = ejected || b.health.ejected(now)
			}
			if ejected != c.ejected {
				t.Errorf("ejected %t, want %t", ejected, c.ejected)
			}
		})
	}
}

// TestServiceWideFailuresDoNotEject checks that a service whose servers all fail at the same rate keeps them: ejecting them
// would leave none.
func TestServiceWideFailuresDoNotEject(t *testing.T) {
	p := newPool(2)
	random := rand.New(rand.NewPCG(3, 3))
	ejected := 0
	for i := range 2000 {
		now := time.Duration(i) * 20 * time.Millisecond
		b := p.servers[[]string{"s0", "s1"}[i%2]]
		p.Ended(now, &Run{backend: b, request: &Request{}, Server: b.Server}, Result{Failed: random.Float64() < 0.15})
		if b.health.ejected(now) {
			ejected++
		}
	}
	if ejected > 200 {
		t.Errorf("ejected at %d of 2000 samples, want at most 200", ejected)
	}
}

func TestBudgetBoundsRepeats(t *testing.T) {
	const routers, ratio, slack = 9, 0.2, 58
	var b [routers]RetryBudgets
	for i := range b {
		b[i] = RetryBudgets{Ratio: ratio, Slack: slack}
	}
	var desk, chat int
	for i := range 10000 {
		now := time.Duration(i) * time.Millisecond
		router := &b[i%routers]
		router.CountRequest(now, "desk")
		if router.AllowRetry(now, "desk", routers) {
			desk++
		}
		if router.AllowRetry(now, "chat", routers) {
			chat++
		}
	}
	if most := 10000*ratio + slack; float64(desk) > most || float64(desk) < most/2 {
		t.Errorf("%d retries of 10000 requests in one window at all routers, allowed %.0f", desk, most)
	}
	if chat > slack || chat == 0 {
		t.Errorf("%d retries to a service without requests, allowed %d", chat, slack)
	}
	if !b[0].AllowRetry(time.Hour, "chat", routers) {
		t.Error("the retry slack is still exhausted an hour later")
	}
}

// TestAddressReuse checks that a new server at the address of another replaces it at once.
func TestAddressReuse(t *testing.T) {
	p := newPool(2)
	p.SetServer(time.Second, Server{ID: "new", Service: "desk", Address: "10.0.0.1:80", DataCentre: "east", Slots: 6})
	for i := range 20 {
		if r := mustSend(t, p, time.Second, chatRequest(time.Second, i, uint64(i))); r.Server.ID != "s1" {
			t.Fatalf("request %d was sent to %s, whose address belongs to another server", i, r.Server.ID)
		}
		p.clearUsage()
	}
}

// clearUsage resets the local usage of all servers.
func (p *Pool) clearUsage() {
	for _, b := range p.servers {
		b.localUsage = Usage{}
	}
}

func TestSharesAreMaxMin(t *testing.T) {
	tests := map[string]struct {
		demand     map[string]float64
		throughput float64
		want       float64
	}{
		"all fits":           {demand: map[string]float64{"a": 10, "b": 20}, throughput: 40},
		"one is far above":   {demand: map[string]float64{"a": 10, "b": 20, "c": 100}, throughput: 60, want: 30},
		"two share the rest": {demand: map[string]float64{"a": 10, "b": 50, "c": 100}, throughput: 60, want: 25},
		"all are above":      {demand: map[string]float64{"a": 50, "b": 50, "c": 100}, throughput: 60, want: 20},
		"unknown throughput": {demand: map[string]float64{"a": 50}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var s shares
			for team, demand := range c.demand {
				s.team(team).localDemand = rate{value: demand}
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

// TestOverShare checks that a team within its share never counts as over it, and that a team far above it is limited to
// about its share.
func TestOverShare(t *testing.T) {
	var s shares
	const throughput = 100000
	const settled = 5 * shareWindow // the rates have converged
	smallOver, largeOver, large := 0, 0, 0
	admit := func(name string, tokens float64, now time.Duration) bool {
		over, _ := s.admit(now, name, tokens, throughput)
		return over
	}
	for i := range 20000 {
		now := time.Duration(i) * time.Millisecond
		if i%20 == 0 && admit("small", 500, now) {
			smallOver++
		}
		if admit("large", 300, now) && now > settled {
			largeOver++
		}
		if now > settled {
			large++
		}
	}
	if smallOver > 0 {
		t.Errorf("%d requests of a team within its share counted as over it", smallOver)
	}
	if part := float64(large-largeOver) / float64(large); part < 0.2 || part > 0.4 {
		t.Errorf("%.2f of the large team's requests are within its share, want about 0.25 to 0.3", part)
	}
}

// TestShareIsDividedAmongRouters checks that a team gets about its share from the first second, however many routers it
// uses.
func TestShareIsDividedAmongRouters(t *testing.T) {
	const (
		routers    = 88
		throughput = 100000.0 // tokens per second
		others     = 20000.0  // demand of the other teams
		demand     = 800000.0 // demand of the large team
		tokens     = 400.0    // tokens of one request
		requests   = 22       // requests of the large team at one router per second
	)
	granted := 0.0
	for range routers {
		s := shares{teams: map[string]*teamShare{"small": {peerDemand: others}, "large": {peerDemand: (throughput - others) / 2}}}
		s.admit(0, "large", tokens, throughput) // its demand has been half of its share so far
		for i := range requests {
			s.team("large").peerDemand = demand * (routers - 1) / routers
			overShare, _ := s.admit(levelPeriod+time.Duration(i)*time.Second/requests, "large", tokens, throughput)
			if !overShare {
				granted += tokens
			}
		}
	}
	if share := throughput - others; granted > share*(1+shareBurst) {
		t.Errorf("%.0f tokens counted as within the share of %.0f in the first second", granted, share)
	}
}

// TestRandomEvents checks that after random events no usage remains, and that no request was sent to an unusable server.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 9))
		p := newPool(6)
		var runs []*Run
		take := func(v Decision, now time.Duration) {
			if v.Run == nil {
				return
			}
			b := p.servers[v.Run.Server.ID]
			if b == nil || b.gone || b.Draining || p.evacuated[b.DataCentre] {
				t.Fatalf("seed %d: request sent to unusable server %s at %v", seed, v.Run.Server.ID, now)
			}
			runs = append(runs, v.Run)
		}
		for step := range 3000 {
			now := time.Duration(step) * 5 * time.Millisecond
			id := fmt.Sprintf("s%d", random.IntN(6))
			switch random.IntN(24) {
			case 0:
				p.RemoveServer(now, id)
			case 1, 2:
				p.SetServer(now, Server{ID: id, Service: "chat", Address: "10.0.0.1:80", DataCentre: "east", Slots: 64, Draining: random.IntN(4) == 0, ColdRemaining: time.Duration(random.IntN(2)) * time.Second, StartMillis: int64(random.IntN(3))})
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
				for _, v := range p.Dispatch(now) {
					take(v, now)
				}
			default:
				if len(runs) > 0 {
					i := random.IntN(len(runs))
					p.Began(now, runs[i])
					if random.IntN(2) == 0 {
						p.Ended(now, runs[i], Result{Failed: random.IntN(5) == 0, CallerGone: random.IntN(5) == 0})
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
				t.Fatalf("seed %d: server %s has remaining usage %+v", seed, id, b.localUsage)
			}
		}
		if p.Dispatch(time.Hour); p.Waiting() != 0 {
			t.Fatalf("seed %d: %d requests still queued an hour later", seed, p.Waiting())
		}
	}
}

// TestOverShareUsesFreeCapacity checks that a team over its share is served while servers have room, and rejected soon when
// they have none.
func TestOverShareUsesFreeCapacity(t *testing.T) {
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
				for _, w := range p.Dispatch(time.Second + time.Duration(overShareWaitFraction*float64(objective))) {
					v, decided = w, true
				}
			}
			if !decided || v.Reason != c.want {
				t.Errorf("decided %t, reason %s, want %s", decided, v.Reason, c.want)
			}
		})
	}
}

// TestFreeCapacityGoesToTheLeastServed checks that of two teams over their share the less served one gets the free capacity.
func TestFreeCapacityGoesToTheLeastServed(t *testing.T) {
	mostlyFull := Usage{Requests: 40}               // of 64 slots
	underHalf := Usage{Requests: 20, Prefill: 1000} // less than half of the slots, and some prefill work
	for name, c := range map[string]struct {
		mine, other float64 // service of the teams in tokens per second
		demand      float64 // the other team's demand in tokens per second
		use         Usage   // of the only server
		want        fleet.Reason
	}{
		"least served":                      {mine: 100000, other: 300000, demand: 1e9, use: mostlyFull, want: fleet.ReasonGranted},
		"about the same":                    {mine: 130000, other: 100000, demand: 1e9, use: mostlyFull, want: fleet.ReasonGranted},
		"far better":                        {mine: 300000, other: 100000, demand: 1e9, use: mostlyFull, want: fleet.ReasonTeamShare},
		"far better, half empty server":     {mine: 300000, other: 100000, demand: 1e9, use: underHalf, want: fleet.ReasonTeamShare},
		"the other gets all that it wants":  {mine: 300000, other: 100000, demand: 105000, use: mostlyFull, want: fleet.ReasonGranted},
		"the other gets most that it wants": {mine: 300000, other: 100000, demand: 150000, use: mostlyFull, want: fleet.ReasonGranted},
		"the only beyond":                   {mine: 300000, other: -1, use: mostlyFull, want: fleet.ReasonGranted},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(1)
			p.servers["s0"].localUsage = c.use
			mine, other := p.shares.team("t"), p.shares.team("u")
			mine.peerDemand, mine.peerServed = 1e9, c.mine
			if c.other >= 0 {
				other.peerDemand, other.peerServed = c.demand, c.other
			}
			v, decided := p.Admit(time.Second, chatRequest(time.Second, 1, 7))
			for _, w := range p.Dispatch(time.Second + objective) {
				v, decided = w, true
			}
			if !decided || v.Reason != c.want {
				t.Errorf("decided %t, reason %s, want %s", decided, v.Reason, c.want)
			}
		})
	}
}

// TestRejectedRequestsCountAsDemand guards against a team that is badly served because its routers reject its requests
// before reading them. They are still part of its demand, so a much better served team has to leave it the free capacity.
func TestRejectedRequestsCountAsDemand(t *testing.T) {
	for name, c := range map[string]struct {
		rejected int
		want     fleet.Reason
	}{
		"none":      {want: fleet.ReasonGranted},
		"a hundred": {rejected: 100, want: fleet.ReasonTeamShare},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(1)
			p.servers["s0"].localUsage = Usage{Requests: 40}
			mine, other := p.shares.team("t"), p.shares.team("u")
			mine.peerDemand, mine.peerServed = 1e9, 300000
			other.localDemand, other.peerServed = rate{value: 100000, at: time.Second}, 100000
			for i := range c.rejected {
				a := chatRequest(time.Second, 100+i, 9)
				a.Team = "u"
				p.CountShed(time.Second, a)
			}
			v, decided := p.Admit(time.Second, chatRequest(time.Second, 1, 7))
			for _, w := range p.Dispatch(time.Second + objective) {
				v, decided = w, true
			}
			if !decided || v.Reason != c.want {
				t.Errorf("decided %t, reason %s, want %s", decided, v.Reason, c.want)
			}
		})
	}
}

// TestRemoteTeamsCount checks that teams with requests at other routers only get their share of the throughput too.
func TestRemoteTeamsCount(t *testing.T) {
	p := newPool(1)
	mine := p.shares.team("t")
	mine.localDemand = rate{value: 60000}
	p.SetPeers(0, digest.Sum{Teams: map[uint32]digest.Rates{1: {Demand: 40000}, 2: {Demand: 300000}}}, true, nil)
	p.shares.updateLevel(0, p.throughput())
	if p.shares.level != 100000.0/3 {
		t.Errorf("level %v of three teams with a higher demand, want a third of 100000", p.shares.level)
	}
}

// TestIdleTeamsAreForgotten checks that teams without demand are removed.
func TestIdleTeamsAreForgotten(t *testing.T) {
	var s shares
	for i := range 1000 {
		s.admit(0, fmt.Sprint("team", i), 500, 100000)
	}
	s.admit(time.Hour, "new", 500, 100000)
	s.updateLevel(time.Hour, 100000)
	if len(s.teams) != 1 {
		t.Errorf("%d teams are kept, want 1", len(s.teams))
	}
}

// TestPlainRequestsAreSpread guards against many routers with the same stale load reports that all send to the plain server
// that looked least loaded.
func TestPlainRequestsAreSpread(t *testing.T) {
	const requests = 400
	counts := map[string]int{}
	for i := range requests {
		p := &Pool{Self: fmt.Sprint("r", i), DataCentre: "north", Joined: true}
		p.Configure(testTable())
		others := digest.Sum{Servers: map[uint32]digest.Use{}}
		for k := range int64(4) {
			id := fmt.Sprint("d", k)
			p.SetServer(0, Server{ID: id, Service: "desk", Address: fmt.Sprintf("10.0.1.%d:80", k), DataCentre: "west", Slots: 6})
			others.Servers[nameID(id)] = digest.Use{Requests: k}
		}
		p.SetPeers(0, others, true, []string{"r"})
		counts[mustSend(t, p, 0, &Request{ID: "a", Service: "desk", Objective: objective, Deadline: time.Second}).Server.ID]++
	}
	t.Log(counts)
	for id, n := range counts {
		if n > requests/2 {
			t.Errorf("%s got %d of %d requests", id, n, requests)
		}
	}
	if counts["d0"] <= counts["d3"] {
		t.Errorf("the least loaded server got %d requests, the most loaded %d", counts["d0"], counts["d3"])
	}
}

// TestColdFleetIsUsed checks that a router finds the few servers to which it may send when all of many servers are cold.
func TestColdFleetIsUsed(t *testing.T) {
	const routers = 88
	p := newPool(140)
	for i := range routers - 1 {
		p.Peers = append(p.Peers, fmt.Sprint("other", i))
	}
	for id := range p.servers {
		p.MarkCold(0, id, time.Minute)
	}
	sent := 0
	for i := range 4 {
		now := time.Duration(i) * 100 * time.Millisecond
		if v, decided := p.Admit(now, chatRequest(now, i, uint64(i))); decided && v.Run != nil {
			sent++
		}
	}
	if sent < 3 { // about six of the 140 servers accept work from one of 88 routers
		t.Errorf("%d of 4 requests were sent at once", sent)
	}
}
