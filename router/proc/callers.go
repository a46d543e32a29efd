package proc

import (
	"context"
	"time"
)

const (
	// connBytes is about what a connection takes that no request is on: a goroutine's stack, two buffers and its state, by the
	// usage lines of 2,000 of them.
	connBytes = 24 << 10
	// requestBytes is about what a request takes while it is served, with a connection at each side, by the same lines.
	requestBytes = 64 << 10
	// connShare and requestShare are the parts of the process's memory that callers' connections and requests may take, and
	// fileShare the part of its descriptors that connections may.
	connShare, requestShare, fileShare = 0.2, 0.35, 0.4
	// connExcess is by how much callers may exceed that before unused connections are closed: most go when an answer asks them to.
	connExcess = 1.25
	// crowdBegins and crowdEnds are the parts of the room for requests at which the balancer is told to send callers elsewhere,
	// and to send them again.
	crowdBegins, crowdEnds = 0.7, 0.35
	// crowdPeriod is how often connections and requests are looked at.
	crowdPeriod = time.Second
)

// room gives how many connections callers may keep, and how many requests may be served at once; 0 for no bound.
func (s *Settings) room() (conns, requests int) {
	if s.Memory > 0 {
		conns = int(connShare * float64(s.Memory) / connBytes)
		requests = int(requestShare * float64(s.Memory) / requestBytes)
	}
	if files := int(fileShare * float64(s.Files)); files > 0 && (conns == 0 || files < conns) {
		conns = files
	}
	return conns, requests
}

// crowded reports whether callers are to be asked to close their connections.
func (p *Process) crowded() bool {
	conns, _ := p.settings.Load().room()
	return p.crowd.Load() || conns > 0 && p.entrance.Conns.Open() > conns
}

// full reports whether so many requests are more than this router can hold.
func (p *Process) full(open int) bool {
	_, requests := p.settings.Load().room()
	return requests > 0 && open > requests
}

// keepCallers closes connections that callers leave unused for too long, or too many of, and notes when requests crowd,
// until the context ends.
func (p *Process) keepCallers(ctx context.Context) error {
	ticker := time.NewTicker(crowdPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		idle := idleTimeout
		if t := p.table.Load(); t != nil && t.Config.Limits.Idle > 0 {
			idle = t.Config.Limits.Idle
		}
		conns, requests := p.settings.Load().room()
		p.entrance.Conns.CloseIdle(idle, int(connExcess*float64(conns)))
		p.noteCrowd(p.relay.Open(), requests)
	}
}

// noteCrowd takes in how many requests are served, with room for so many.
func (p *Process) noteCrowd(open, room int) {
	was := p.crowd.Load()
	limit := crowdBegins
	if was {
		limit = crowdEnds
	}
	is := room > 0 && float64(open) > limit*float64(room)
	if is == was {
		return
	}
	p.crowd.Store(is)
	p.log.Warn("crowd", "is", is, "open", open, "room", room, "callers", p.entrance.Conns.Open())
}
