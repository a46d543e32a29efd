package pool

import "time"

const (
	// budgetWindow is the time over which repeats are counted.
	budgetWindow = 10 * time.Second
	// budgetSlices divide the window.
	budgetSlices = 10
)

// Budget bounds how many requests this router sends again: Ratio of the first sends of the window, plus Slack.
type Budget struct {
	Ratio float64
	Slack float64

	slice  [budgetSlices]struct{ first, again float64 }
	newest int64 // number of the newest slice since the start
}

func (b *Budget) turn(now time.Duration) int {
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
func (b *Budget) First(now time.Duration) { b.slice[b.turn(now)].first++ }

// Take counts one more sending of a request, or reports that the budget is used up.
func (b *Budget) Take(now time.Duration) bool {
	at := b.turn(now)
	var first, again float64
	for _, s := range b.slice {
		first += s.first
		again += s.again
	}
	if again+1 > b.Ratio*first+b.Slack {
		return false
	}
	b.slice[at].again++
	return true
}
