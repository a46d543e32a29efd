package relay

import "sync"

// Load is how many requests a router serves.
type Load struct {
	Open  int // in all
	Mine  int // of one team
	Teams int // with requests open, the one's own included
}

// open counts the requests that are served, by team; its zero value works.
type open struct {
	mutex sync.Mutex
	total int
	teams map[string]int
}

// enter counts a request of a team and gives the load besides it.
func (o *open) enter(team string) Load {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.teams == nil {
		o.teams = make(map[string]int)
	}
	l := Load{Open: o.total, Mine: o.teams[team]}
	o.total++
	o.teams[team]++
	l.Teams = len(o.teams)
	return l
}

// leave ends the count of a request.
func (o *open) leave(team string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.total--
	if o.teams[team]--; o.teams[team] == 0 {
		delete(o.teams, team)
	}
}

// count gives how many requests are served.
func (o *open) count() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.total
}

// enter counts the call as open, for the team that it is of now, and gives the load besides it.
func (c *call) enter() Load {
	c.entered, c.holder = true, c.team
	return c.relay.open.enter(c.holder)
}

// leave ends the counts.
func (c *call) leave() {
	c.relay.bodies.free(c.held)
	if c.entered {
		c.relay.open.leave(c.holder)
	}
}
