package relay

import "sync"

// Load holds the numbers of requests that a router serves.
type Load struct {
	Open   int // of all teams
	OfTeam int // of the team in question
	Teams  int // number of teams with open requests, including the team in question
}

// openCounter counts the open requests by team. Its zero value is ready to use.
type openCounter struct {
	mutex sync.Mutex
	total int
	teams map[string]int
}

// enter counts a request of a team and returns the load without that request.
func (o *openCounter) enter(team string) Load {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.teams == nil {
		o.teams = make(map[string]int)
	}
	l := Load{Open: o.total, OfTeam: o.teams[team]}
	o.total++
	o.teams[team]++
	l.Teams = len(o.teams)
	return l
}

// leave removes a request from the count.
func (o *openCounter) leave(team string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.total--
	if o.teams[team]--; o.teams[team] == 0 {
		delete(o.teams, team)
	}
}

// count returns the number of open requests.
func (o *openCounter) count() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.total
}

// countOpen counts the call as open for its present team and returns the load without it.
func (c *call) countOpen() Load {
	c.open, c.countedTeam = true, c.team
	return c.relay.open.enter(c.countedTeam)
}

// release removes the call and its body from the counts.
func (c *call) release() {
	if c.sends > 0 {
		c.relay.served.Add(1)
	}
	c.relay.bodies.release(c.heldBytes)
	for _, held := range c.answers {
		held.release()
	}
	c.leaveOpen()
}

// leaveOpen removes the call from the open requests. A request that is refused unread leaves at once: those that wait for the processor
// until they are answered would otherwise fill the limit, so that nothing is served.
func (c *call) leaveOpen() {
	if c.open {
		c.open = false
		c.relay.open.leave(c.countedTeam)
	}
}
