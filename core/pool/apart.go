package pool

import (
	"cmp"
	"slices"
	"time"
)

const (
	// apartLeast is the fewest servers of a service of which some are set apart.
	apartLeast = 4
	// apartFill is the part of a server's slots that long answers are meant to fill.
	apartFill = 0.9
	// apartMost is the largest part of a service's servers that is set apart.
	apartMost = 0.34
	// apartPeriod is how often the set is chosen anew.
	apartPeriod = 100 * time.Millisecond
	// apartHold is how long a set stays at least before it shrinks: servers that leave it have to read prompts anew.
	apartHold = 3 * time.Second
)

// apart is the set of servers that are kept for long answers. A server that reads a long prompt gives no tokens meanwhile, so
// streams go faster where only short prompts are read; and a step costs nearly the same for one stream as for many, so they
// are best kept together. All routers choose the same servers, as they see the same load.
type apart struct {
	servers map[*backend]bool
	at      time.Duration // when it was chosen
	grown   time.Duration // when it last had to be as large as it is
}

// setApart gives the servers of a service that are kept for long answers.
func (p *Pool) setApart(now time.Duration, v *service) map[*backend]bool {
	s := &v.apart
	if s.at > 0 && now-s.at < apartPeriod {
		return s.servers
	}
	s.at = now
	var fit []*backend
	var answers, slots int64
	for _, b := range v.servers {
		answers += b.usage(now).Answers
		if p.open(b) && !b.health.aside(now) && !p.cold(now, b) {
			fit = append(fit, b)
			slots += int64(b.Slots)
		}
	}
	if len(fit) < apartLeast || slots == 0 {
		s.servers = nil
		return nil
	}
	each := apartFill * float64(slots) / float64(len(fit))
	want := int(float64(answers)/each + 0.99)
	want = min(want, int(apartMost*float64(len(fit))))
	if want >= len(s.servers) {
		s.grown = now
	} else if now-s.grown < apartHold {
		want = len(s.servers)
	}
	slices.SortFunc(fit, func(a, b *backend) int { return cmp.Compare(a.hash, b.hash) })
	s.servers = make(map[*backend]bool, want)
	for _, b := range fit[:min(want, len(fit))] {
		s.servers[b] = true
	}
	return s.servers
}
