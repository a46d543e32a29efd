package front

import (
	"sync"

	"mangolug.org/core/fleet"
)

// openCount counts open requests and the bytes of their bodies.
type openCount struct {
	mutex sync.Mutex
	total int
	bytes int64
	teams map[string]int
}

func (o *openCount) enter(limit int) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.total >= limit {
		return false
	}
	o.total++
	return true
}

func (o *openCount) leave() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.total--
}

func (o *openCount) enterTeam(team string, limit int) bool {
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

func (o *openCount) leaveTeam(team string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.teams[team]--
	if o.teams[team] == 0 {
		delete(o.teams, team)
	}
}

// hold reserves bytes for a body.
func (o *openCount) hold(bytes, limit int64) fleet.Reason {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.bytes+bytes > limit {
		return fleet.ReasonQueueBytes
	}
	o.bytes += bytes
	return fleet.ReasonNone
}

func (o *openCount) release(bytes int64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.bytes -= bytes
}
