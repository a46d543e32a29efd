package pool

import "time"

const (
	// budgetWindow is the sliding window over which retries are counted.
	budgetWindow = 10 * time.Second
	// budgetSlices is the number of slices of the window.
	budgetSlices = 10
)

// budgetMargin is the fraction of the budget that is used, since the windows of other routers start at other times.
const budgetMargin = 0.8

// RetryBudgets limit the fleet's retries to each service within the window to Ratio times the number of first attempts, plus
// Slack. Each router is entitled to the ratio of its own requests and to an equal share of the slack.
type RetryBudgets struct {
	Ratio float64
	Slack float64

	services map[string]*budget
}

// budget counts the attempts to send to one service.
type budget struct {
	slice  [budgetSlices]struct{ first, again float64 }
	newest int64 // number of the newest slice since the start
}

func (b *budget) advance(now time.Duration) int {
	n := int64(now / (budgetWindow / budgetSlices))
	for ; b.newest < n; b.newest++ {
		if n-b.newest > budgetSlices {
			b.newest = n - budgetSlices
		}
		b.slice[(b.newest+1)%budgetSlices] = struct{ first, again float64 }{}
	}
	return int(n % budgetSlices)
}

// CountRequest counts the first attempt of a request.
func (b *RetryBudgets) CountRequest(now time.Duration, service string) {
	s := b.service(service)
	s.slice[s.advance(now)].first++
}

func (b *RetryBudgets) service(name string) *budget {
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

// AllowRetry counts a retry and returns true, or returns false if the retry budget is exhausted.
func (b *RetryBudgets) AllowRetry(now time.Duration, service string, routers int) bool {
	s := b.service(service)
	current := s.advance(now)
	var requests, retries float64
	for _, c := range s.slice {
		requests += c.first
		retries += c.again
	}
	if retries+1 > budgetMargin*(b.Ratio*requests+b.Slack/float64(max(1, routers))) {
		return false
	}
	s.slice[current].again++
	return true
}
