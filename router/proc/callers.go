package proc

import (
	"context"
	"time"
)

const (
	// connBytes is about what a caller's connection takes: a goroutine's stack, two buffers and its descriptor's state (measured
	// by the usage lines of 2,000 of them).
	connBytes = 40 << 10
	// connMemoryShare and connFileShare are the parts of the process's memory and descriptors that callers' connections may take.
	connMemoryShare, connFileShare = 0.35, 0.4
	// connExcess is by how much callers may exceed that before unused connections are closed: most go when an answer asks them to.
	connExcess = 1.25
	// connPeriod is how often connections are looked at.
	connPeriod = time.Second
)

// room gives how many connections callers may keep; 0 for no bound.
func (s *Settings) room() int {
	room := 0
	if s.Memory > 0 {
		room = int(connMemoryShare * float64(s.Memory) / connBytes)
	}
	if files := int(connFileShare * float64(s.Files)); files > 0 && (room == 0 || files < room) {
		room = files
	}
	return room
}

// crowded reports whether callers are to be asked to close their connections.
func (p *Process) crowded() bool {
	room := p.settings.Load().room()
	return room > 0 && p.entrance.Conns.Open() > room
}

// keepCallers closes connections that callers leave unused for too long, or too many of, until the context ends.
func (p *Process) keepCallers(ctx context.Context) error {
	ticker := time.NewTicker(connPeriod)
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
		p.entrance.Conns.CloseIdle(idle, int(connExcess*float64(p.settings.Load().room())))
	}
}
