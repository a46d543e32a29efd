package pool

import "time"

const (
	// homeWeight is how much more a server in the own data centre counts: bytes between data centres are paid for.
	homeWeight = 4
	// busyWindow is the time over which the mean of a plain server's load is taken: some times the age of the news of it.
	busyWindow = time.Second
	// plainQueue is how many times its slots a plain server may hold in running and waiting requests.
	plainQueue = 2
	// loadAge is how old a server's own account of its load may be to count.
	loadAge = 300 * time.Millisecond
)

// weighPlain ranks servers of a plain service by chance, those that are less busy first as often as they are. News of loads
// are older than most plain requests last, so what is busy now is not known: the mean of late is, and following it slowly
// keeps routers from sending all to one server and then all to another.
func (p *Pool) weighPlain(now time.Duration, b *backend, u Usage) choice {
	busy := u.Requests
	if now-b.loadAt < loadAge {
		busy = max(busy, int64(b.load.Running+b.load.Waiting))
	}
	slots := float64(max(1, b.Slots))
	use := b.busy.follow(now, float64(busy)) / slots
	weight := 1 / ((1 + use) * (1 + use))
	if b.DataCentre == p.DataCentre {
		weight *= homeWeight
	}
	// The least of exponential draws falls on each server as often as its weight says.
	return choice{backend: b, cost: time.Duration(p.Random.ExpFloat64() / weight * float64(time.Second)), room: use < plainQueue}
}
