package pool

import "time"

const (
	// budgetWindow is the time over which repeats are counted.
	budgetWindow = 10 * time.Second
	// budgetSlices divide the window.
	budgetSlices = 10
)

// budgetMargin is the part of the budget that is used: windows of other routers begin at other moments.
const budgetMargin = 0.8

// Budgets bound how many requests the fleet sends again to each service: Ratio of the first sends of the window, plus Slack.
// Each router takes the part of its own requests, and an even part of the slack.
type Budgets struct {
	Ratio float64
	Slack float64

	services map[string]*budget
}

// budget counts the sends to one service.
type budget struct {
	slice  [budgetSlices]struct{ first, again float64 }
	newest int64 // number of the newest slice since the start
}

func (b *budget) turn(now time.Duration) int {
	n := int64(now / (budgetWindow / budgetSlices))
	for ; b.newest < n; b.newest++ {
		if n-b.newest > budgetSlices {
			b.newest = n - budgetSlices
		}
		b.slice[(b.newest+1)%budgetSlices] = struct{ first, again float64 }{}
	}
	return int(n % budgetSlices)
}

// First counts a request that is sent for the first time.
func (b *Budgets) First(now time.Duration, service string) {
	s := b.service(service)
	s.slice[s.turn(now)].first++
}

func (b *Budgets) service(name string) *budget {
	if b.services == nil {
		b.services = make(map[string]*budget)
	}
	s := b.services[name]
	if s == nil {
		s = &budget{}
		b.services[name] = s
	}
	return s
}

// Take counts one more sending of a request, or reports that the budget is used up.
func (b *Budgets) Take(now time.Duration, service string, routers int) bool {
	s := b.service(service)
	at := s.turn(now)
	var first, again float64
	for _, c := range s.slice {
		first += c.first
		again += c.again
	}
	if again+1 > budgetMargin*(b.Ratio*first+b.Slack/float64(max(1, routers))) {
		return false
	}
	s.slice[at].again++
	return true
}
