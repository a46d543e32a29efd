package front

import (
	"sync"

	"mangolug.org/core/fleet"
)

// openRequests counts the open requests and the bytes reserved for their bodies.
type openRequests struct {
	mutex sync.Mutex
	total int
	bytes int64
	teams map[string]int
}

func (o *openRequests) acquire(limit int) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.total >= limit {
		return false
	}
	o.total++
	return true
}

func (o *openRequests) release() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.total--
}

func (o *openRequests) acquireTeam(team string, limit int) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.teams == nil {
		o.teams = make(map[string]int)
	}
	if o.teams[team] >= limit {
		return false
	}
	o.teams[team]++
	return true
}

func (o *openRequests) releaseTeam(team string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.teams[team]--
	if o.teams[team] == 0 {
		delete(o.teams, team)
	}
}

// reserveBytes reserves memory for a body, or returns ReasonQueueBytes if the limit would be exceeded.
func (o *openRequests) reserveBytes(bytes, limit int64) fleet.Reason {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.bytes+bytes > limit {
		return fleet.ReasonQueueBytes
	}
	o.bytes += bytes
	return fleet.ReasonNone
}

func (o *openRequests) releaseBytes(bytes int64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.bytes -= bytes
}
