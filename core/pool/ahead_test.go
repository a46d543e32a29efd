package pool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/route"
)

// TestHeldTeamIsServedEvenly guards against many routers that all admit a team at once and then all hold it back, because
// reports of what it gets arrive late. A team with unlimited demand, next to one that gets little, must be served at about
// the same rate in each second.
func TestHeldTeamIsServedEvenly(t *testing.T) {
	for name, test := range map[string]struct {
		routers int
		jump    time.Duration
		before  int // its requests per interval before the jump, at most perInterval
	}{
		"from the start": {80, 0, 0},
		"ten times as much from one moment to the next":                {80, 3 * time.Second, 2},
		"from less than the other team gets":                           {80, 3 * time.Second, 0},
		"from the start at 295 routers":                                {295, 0, 0},
		"ten times as much from one moment to the next at 295 routers": {295, 3 * time.Second, 2},
	} {
		t.Run(name, func(t *testing.T) { runOverServedTeam(t, test.routers, test.before, test.jump) })
	}
}

// runOverServedTeam plays one team's demand, which rises suddenly at the jump, against one badly served team.
func runOverServedTeam(t *testing.T, routers, perIntervalBefore int, jump time.Duration) {
	const (
		period      = 120 * time.Millisecond
		interval    = 10 * time.Millisecond
		perInterval = 20 // requests per interval, at random routers
		lowRate     = 800000
		duration    = 8 * time.Second
		settled     = 2 * time.Second
	)
	c := testTable().Config
	c.Limits.TokensPerSecond = 2300000
	limits := route.NewTable(c)
	pools := make([]*Pool, routers)
	sums := make([]digest.Sum, routers)
	for i := range pools {
		pools[i] = newPool(12)
		pools[i].Self = fmt.Sprint("r", i)
		pools[i].Configure(limits)
	}
	random := rand.New(rand.NewPCG(1, 2))
	served := make([]int64, duration/time.Second)
	type running struct {
		pool *Pool
		run  *Run
		end  time.Duration
	}
	var runs []running
	id := 0
	for now := time.Millisecond; now < duration; now += time.Millisecond {
		for len(runs) > 0 && runs[0].end <= now {
			runs[0].pool.Began(now, runs[0].run)
			runs[0].pool.Ended(now, runs[0].run, Result{})
			runs = runs[1:]
		}
		if now%period == 0 {
			var all digest.Sum
			for _, s := range sums {
				all.Add(s)
			}
			for i, p := range pools {
				var others digest.Sum
				others.Add(all)
				others.Subtract(sums[i])
				others.Servers = nil // the servers have room
				others.Teams[nameID("low")] = digest.Rates{Demand: 10 * lowRate, Served: lowRate}
				p.SetPeers(now, others, true, make([]string, routers-1))
			}
			for i, p := range pools {
				sums[i] = p.Summary(now)
			}
		}
		for i := range perInterval {
			if now%interval != 0 || now < jump && i >= perIntervalBefore {
				continue
			}
			id++
			p := pools[random.IntN(routers)]
			a := chatRequest(now, id, uint64(random.IntN(1000)))
			if v, decided := p.Admit(now, a); decided && v.Run != nil {
				served[now/time.Second] += a.cost()
				runs = append(runs, running{p, v.Run, now + 100*time.Millisecond})
			} else if !decided {
				p.Cancel(a)
			}
		}
	}
	t.Log(served)
	for second := settled / time.Second; second < duration/time.Second; second++ {
		if tooLittle := served[second] < lowRate && second*time.Second >= jump; served[second] > 2*lowRate || tooLittle {
			t.Errorf("%d tokens in second %d, want %d to %d", served[second], second, lowRate, 2*lowRate)
		}
	}
}

// TestSentButNeverBegunIsNotServed guards against counting requests that servers never begin as service. Users count only
// requests that begin, so a much better served team would not be held back for the team.
func TestSentButNeverBegunIsNotServed(t *testing.T) {
	const sent = 10
	for name, c := range map[string]struct {
		begun int
		want  float64
	}{"none begins": {}, "half begin": {begun: sent / 2, want: 0.5}, "all begin": {begun: sent, want: 1}} {
		t.Run(name, func(t *testing.T) {
			p := newPool(sent)
			const now = time.Second
			total := 0.0
			for i := range sent {
				a := chatRequest(now, i, uint64(i))
				total += float64(a.cost())
				v, decided := p.Admit(now, a)
				if !decided || v.Run == nil {
					t.Fatalf("request %d: decided %t, reason %s", i, decided, v.Reason)
				}
				if i < c.begun {
					p.Began(now, v.Run)
				}
				p.Ended(now, v.Run, Result{Failed: i >= c.begun})
			}
			if got := p.shares.team("t").servedRate() / total; math.Abs(got-c.want) > 0.01 {
				t.Errorf("the team counts as served %.2f of its demand, want %.2f", got, c.want)
			}
		})
	}
}

// TestLeastServedTeamIsNotLimitedByItself guards against limiting the least served team by its own rate while servers have
// room: it would never get more, and all other teams would be limited to little more than it gets.
func TestLeastServedTeamIsNotLimitedByItself(t *testing.T) {
	const (
		requests = 40
		gap      = 25 * time.Millisecond
	)
	p := newPool(1)
	p.servers["s0"].localUsage = Usage{Requests: 40} // more than half of its slots, so that it is not idle
	mine, other := p.shares.team("t"), p.shares.team("u")
	mine.peerDemand, mine.peerServed = 1e7, 50000
	other.peerDemand, other.peerServed = 1e7, 1e6
	sent := 0
	for i := range requests {
		now := time.Second + time.Duration(i)*gap
		a := chatRequest(now, i, uint64(i))
		v, decided := p.Admit(now, a)
		if !decided {
			p.Cancel(a)
			continue
		}
		if v.Run != nil {
			sent++
			p.Began(now, v.Run)
			p.Ended(now, v.Run, Result{})
		}
	}
	if sent < requests*9/10 {
		t.Errorf("%d of %d requests of the least served team are sent although the server has room", sent, requests)
	}
}
