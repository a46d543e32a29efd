package pool

import (
	"hash/fnv"
	"time"

	"mangolug.org/core/digest"
)

// Own gives what this router has in use and what is asked of it, for the other routers.
func (p *Pool) Own(now time.Duration) digest.Sum {
	p.init()
	s := digest.Sum{Routers: 1, Servers: make(map[uint32]digest.Use, len(p.servers)), Teams: make(map[uint32]digest.Rates, len(p.shares.teams))}
	for id, b := range p.servers {
		if b.own != (Usage{}) {
			s.Servers[key(id)] = digest.Use(b.own)
		}
	}
	for name, t := range p.shares.teams {
		if r := t.tell(now); r != (digest.Rates{}) {
			s.Teams[key(name)] = r
		}
	}
	return s
}

// Others takes in what the other routers have in use, unless it is not known, and which routers live. What was heard last counts
// for a moment longer.
func (p *Pool) Others(now time.Duration, s digest.Sum, known bool, routers []string) {
	p.init()
	p.Routers, p.Joined = routers, len(routers) > 0 && now > knownTime || now > joinTime
	switch {
	case known:
		p.heardAt = max(1, now)
	case p.heardAt > 0 && now-p.heardAt <= othersAge:
		return
	default:
		s = digest.Sum{}
	}
	for id, b := range p.servers {
		b.others, b.othersAt = Usage(s.Servers[key(id)]), now
	}
	p.shares.hear(s, len(routers)+1)
}

// knownTime is how long after its start a router that hears of others may still know only some of them; from TestRestartJoinsWithinASecond.
const knownTime = time.Second

// joinTime is how long after its start a router that hears no other takes itself to be alone.
const joinTime = 3 * time.Second

// key is a name in a digest: a clash of two would only blur two loads.
func key(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // a hash never fails
	return h.Sum32()
}

// Shares is what a router believes of the teams' shares; rates are in tokens a second, over the whole fleet.
type Shares struct {
	Throughput, Asked, Served float64
	Level                     float64 // above it a team is beyond its share; 0 if there is enough for all
	Beyond                    int     // teams that ask for more than the level
	Least                     string  // the least served team that wants more; empty if none does
	LeastAsked, LeastServed   float64
	Most                      string // the most served team that asks this router
	MostAsked, MostServed     float64
}

// Shares gives what is believed of the teams' shares; of teams that ask only other routers it knows sums alone.
func (p *Pool) Shares(now time.Duration) Shares {
	s := &p.shares
	b := Shares{Throughput: p.throughput(), Level: s.level}
	for _, r := range s.elsewhere {
		b.Asked += float64(r.Asked)
		b.Served += float64(r.Served)
		if s.level > 0 && float64(r.Asked) > s.level {
			b.Beyond++
		}
	}
	for name, t := range s.teams {
		t.own.decay(now)
		t.served.decay(now)
		asked, served := t.asked(), t.gets()
		b.Asked += asked
		b.Served += served
		if served > b.MostServed {
			b.Most, b.MostAsked, b.MostServed = name, asked, served
		}
		if s.level > 0 && asked > s.level {
			b.Beyond++
		}
		if s.wantsMore(asked, served) && (b.Least == "" || served < b.LeastServed) {
			b.Least, b.LeastAsked, b.LeastServed = name, asked, served
		}
	}
	return b
}
