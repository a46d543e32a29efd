package proc

import "time"

const (
	// actingAge is the age of the fleet's last read above which an acting reader reads: half the time between two reads of one reader.
	actingAge = 400 * time.Millisecond
	// actingAgeStep spreads that age over the acting routers.
	actingAgeStep = 100 * time.Millisecond
	// minOverlaps is the number of reads of other routers, each since this router's previous one, after which an acting reader stops.
	minOverlaps = 3
	// maxOverlapJitter spreads that number.
	maxOverlapJitter = 4
)

// actingReader decides whether a router that found the fleet's last read too old goes on reading, since the routers whose duty it is can't reach the
// platform. The zero value does not read.
type actingReader struct {
	active   bool
	readAt   time.Duration // time of this router's newest successful read
	overlaps int           // consecutive own reads since the previous of which another router had read as well
	limit    int           // number of overlaps at which it stops
	age      time.Duration // of the fleet's last read, above which it reads
}

// start begins a term with a read at the given time; jitter delays its reads and is added to the number of overlaps that end it, so that of several acting
// routers one goes on.
func (a *actingReader) start(now time.Duration, jitter int) {
	*a = actingReader{active: true, readAt: now, limit: minOverlaps + 2*jitter, age: actingAge + time.Duration(jitter)*actingAgeStep}
}

// stop ends a term.
func (a *actingReader) stop() { a.active = false }

// due reports whether to read now, given the time of the fleet's newest read.
func (a *actingReader) due(now, fleetReadAt time.Duration) bool {
	return a.active && now-fleetReadAt >= a.age
}

// observe records a successful read, given the time of the fleet's newest read before it. It ends the term when other routers read often enough.
func (a *actingReader) observe(now, fleetReadAt time.Duration) {
	if fleetReadAt > a.readAt {
		a.overlaps++
	} else {
		a.overlaps = 0
	}
	a.readAt = now
	if a.overlaps >= a.limit {
		a.stop()
	}
}
