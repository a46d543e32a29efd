package pool

import "time"

const (
	// localWeight is the weight of a server in the router's own data centre relative to one elsewhere, since traffic between
	// data centres is charged.
	localWeight = 4
	// loadWindow is the averaging window of a plain server's load: several times the age of the load reports.
	loadWindow = time.Second
	// maxPlainLoad is the maximum number of running and waiting requests of a plain server, as a multiple of its slots.
	maxPlainLoad = 2
	// loadMaxAge is the age above which a load reported by a server is ignored.
	loadMaxAge = 300 * time.Millisecond
)

// scorePlain orders the servers of a plain service by weighted random choice, with a higher weight for less busy servers.
// Load reports are older than most plain requests last, so the current load is unknown. The average is known, and its slow
// change keeps routers from sending all requests to one server and then all to another.
func (p *Pool) scorePlain(now time.Duration, b *backend, u Usage) candidate {
	busy := u.Requests
	if now-b.loadAt < loadMaxAge {
		busy = max(busy, int64(b.load.Running+b.load.Waiting))
	}
	slots := float64(max(1, b.Slots))
	use := b.meanLoad.observe(now, float64(busy)) / slots
	weight := 1 / ((1 + use) * (1 + use))
	if b.DataCentre == p.DataCentre {
		weight *= localWeight
	}
	// The minimum of exponential draws falls on each server with a probability proportional to its weight.
	return candidate{backend: b, cost: time.Duration(p.Random.ExpFloat64() / weight * float64(time.Second)), hasRoom: use < maxPlainLoad}
}
