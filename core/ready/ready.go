package ready

import "time"

const (
	// minRouters is the number of live routers of a data centre from which on one more or less doesn't matter. In smaller ones a router
	// is ready again as soon as it is no longer overloaded.
	minRouters = 8
	// calmTime is how long a router that was overloaded has to be calm before it is ready again. The balancer needs two seconds to notice
	// an overload, so that meanwhile two or three more routers get connections. The value is from TestHotClientSpreads.
	calmTime = 8 * time.Second
	// calmFraction is the fraction of the limit of open requests below which a router is calm. The limit is low after an overload, so that
	// a lower fraction keeps routers away that have room. The value is from TestHotClientSpreads.
	calmFraction = 0.8
	// concentrated is the multiple of an even part of all demand from which on a router's overload is due to where callers enter. At most
	// half of all routers have as much. Where all are overloaded, staying away helps nobody.
	concentrated = 2
	// budgetWindow and budgetFraction bound the time for which a router stays away, that is, is not ready although it isn't overloaded: it
	// is a fault if machines are not ready for an eighth of all machines' time, and no router knows how many others are not.
	budgetWindow   = 100 * time.Second
	budgetFraction = 0.1
	// maxStay bounds one such time. It is stayPerRouter for each live router of the fleet if that is less: one hot client overloads a
	// further router every three seconds, so that a tenth of all routers stay away at the same time.
	maxStay       = 10 * time.Second
	stayPerRouter = 300 * time.Millisecond
)

// Load is what a router knows of its load.
type Load struct {
	Overloaded bool    // it refuses requests, or is about to
	Open       int     // open requests
	Limit      int     // limit of open requests; 0 for none
	Part       float64 // demand at this router as a multiple of an even part of the fleet's; 0 for unknown
	Routers    int     // live routers of the data centre, including this one
	Fleet      int     // live routers of all data centres, including this one
}

// stay is a time for which a router stayed away.
type stay struct{ from, to time.Duration }

// Decider decides whether a router reports that it is ready. Its zero value is that of a router that was never overloaded.
type Decider struct {
	pending  bool          // it was overloaded, and has not been ready since
	alone    bool          // the overload was due to where callers enter
	busyAt   time.Duration // when it was last overloaded or not calm
	stays    []stay        // within budgetWindow, the newest last
	isAway   bool          // the newest stay goes on
	overload bool
}

// Update records a load and reports whether the router is ready.
func (d *Decider) Update(now time.Duration, l Load) bool {
	if d.isAway {
		d.stays[len(d.stays)-1].to = now
	}
	if d.overload = l.Overloaded; l.Overloaded {
		if !d.pending {
			d.pending, d.alone = true, false
		}
		d.alone = d.alone || l.Part >= concentrated
		d.busyAt, d.isAway = now, false
		return false
	}
	if !d.pending {
		return true
	}
	if l.Limit > 0 && float64(l.Open) >= calmFraction*float64(l.Limit) {
		d.busyAt = now
	}
	if l.Routers < minRouters || !d.alone || now-d.busyAt >= calmTime || !d.extend(now, l.Fleet) {
		d.pending, d.isAway = false, false
		return true
	}
	return false
}

// Away reports whether the router is not ready although it isn't overloaded.
func (d *Decider) Away() bool { return d.isAway && !d.overload }

// extend prolongs the current stay until now, or begins one. It reports whether the bounds allow that.
func (d *Decider) extend(now time.Duration, fleet int) bool {
	if !d.isAway {
		d.isAway = true
		d.stays = append(d.stays, stay{now, now})
	}
	current := d.stays[len(d.stays)-1]
	for d.stays[0].to < now-budgetWindow {
		d.stays = d.stays[1:]
	}
	most := min(maxStay, time.Duration(fleet)*stayPerRouter)
	return now-current.from < most && d.Spent(now) < time.Duration(budgetFraction*float64(budgetWindow))
}

// Spent returns for how long the router stayed away within the last budgetWindow.
func (d *Decider) Spent(now time.Duration) time.Duration {
	var sum time.Duration
	for _, s := range d.stays {
		sum += max(0, s.to-max(s.from, now-budgetWindow))
	}
	return sum
}
